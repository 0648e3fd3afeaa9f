package org.dogwoodwood.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Plays short soaks with fixed seeds. */
class SoakTests {

    private static final int SECONDS = 15;
    private static final int MAX_SHOWN = 5;
    private static final int MIN_SUCCESSES = 100;

    @TempDir private Path folder;

    /** Guards against answers of other requests, of other runs and of no run. */
    @Test
    void eachAnswerIsTheOneOfItsRequest() throws Exception {
        assertHolds(SoakOptions.of(1, SECONDS, 3));
    }

    /**
     * Guards against a success of an earlier run where the target has answered with a failure: the
     * only target of a service keeps copies for the next attempt of the same id.
     */
    @Test
    void aSuccessIsTheLatestAnswerOfItsTarget() throws Exception {
        assertHolds(SoakOptions.of(3, SECONDS, 1).withCopiesForNextAttempt(true));
    }

    private void assertHolds(SoakOptions options) throws Exception {
        SoakResult result = Soak.run(options, folder);
        result.print(System.out);
        assertThat(result.violations().stream().limit(MAX_SHOWN)).isEmpty();
        assertThat(result.counts().getOrDefault("client: safe 200", 0))
                .isGreaterThan(MIN_SUCCESSES);
        assertThat(result.counts().getOrDefault("client: unsafe 200", 0)).isPositive();
    }
}
