package org.dogwoodwood.faults.matrix;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Verifies that a seed gives the same run in every process. */
class SeedTests {

    private static final int PROCESSES = 8;
    private static final String[] SEEDS = {"41", "7", "19"};

    @Test
    void oneSeedGivesOneJournalInEveryProcess() throws IOException, InterruptedException {
        Map<String, Integer> processesByJournal = new HashMap<>();
        for (int i = 0; i < PROCESSES; i++) {
            processesByJournal.merge(journalOfOneProcess(), 1, Integer::sum);
        }
        assertThat(processesByJournal.values()).containsExactly(PROCESSES);
    }

    private static String journalOfOneProcess() throws IOException, InterruptedException {
        Process process =
                new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-XX:TieredStopAtLevel=1",
                                "-Xmx256m",
                                "-cp",
                                System.getProperty("java.class.path"),
                                JournalMain.class.getName(),
                                SEEDS[0],
                                SEEDS[1],
                                SEEDS[2])
                        .redirectError(ProcessBuilder.Redirect.INHERIT)
                        .start();
        String journal =
                new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertThat(process.waitFor()).isZero();
        assertThat(journal).isNotEmpty();
        return journal;
    }
}
