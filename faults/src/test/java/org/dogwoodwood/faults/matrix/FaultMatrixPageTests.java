package org.dogwoodwood.faults.matrix;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.dogwoodwood.faults.simulation.Step;
import org.junit.jupiter.api.Test;

/**
 * Verifies that the documentation page and the feature file list exactly the cells that are run.
 */
class FaultMatrixPageTests {

    private static final Path PAGE = Path.of("..", "docs", "fault-matrix.md");
    private static final Path FEATURE_FILE =
            Path.of("src/test/resources/org/dogwoodwood/faults/matrix/fault-matrix.feature");

    @Test
    void tableOnPageMatchesEveryCell() throws IOException {
        List<String> lines = Files.readAllLines(PAGE);
        for (Fault fault : Fault.values()) {
            StringBuilder row = new StringBuilder("| " + fault.label() + " |");
            for (Step step : Step.values()) {
                row.append(' ')
                        .append(
                                FaultMatrix.emptyReason(fault, step)
                                        .map(reason -> "– (" + reason.mark() + ")")
                                        .orElse("x"))
                        .append(" |");
            }
            assertThat(lines).contains(row.toString());
        }
        long rows = lines.stream().filter(line -> line.matches(".*\\| (x|–).*")).count();
        assertThat(rows).isEqualTo(Fault.values().length);
    }

    @Test
    void pageExplainsEveryEmptyCell() throws IOException {
        String page = Files.readString(PAGE).replaceAll("\\s+", " ");
        Arrays.stream(FaultMatrix.EmptyReason.values())
                .forEach(
                        reason ->
                                assertThat(page)
                                        .contains("(" + reason.mark() + ") " + reason.text()));
    }

    @Test
    void featureFileContainsEveryCellOnce() throws IOException {
        List<String> found = new ArrayList<>();
        String fault = "";
        for (String line : Files.readAllLines(FEATURE_FILE)) {
            String text = line.strip();
            if (text.startsWith("When the fault \"")) {
                fault = text.split("\"", -1)[1];
            } else if (text.startsWith("| ") && !text.matches("\\| step +\\|")) {
                found.add(fault + " at " + text.substring(1, text.length() - 1).strip());
            }
        }
        Set<String> expected = new LinkedHashSet<>();
        FaultMatrix.cells().forEach(cell -> expected.add(cell.toString()));
        assertThat(found).doesNotHaveDuplicates().containsExactlyInAnyOrderElementsOf(expected);
    }

    @Test
    void excludedScenariosAreListedAsKnownRed() throws IOException {
        String features = Files.readString(FEATURE_FILE);
        long tags = features.lines().filter(line -> line.strip().equals("@known-red")).count();
        Path list = Path.of("..", "KNOWN-RED.txt");
        long listed =
                Files.exists(list)
                        ? Files.readAllLines(list).stream()
                                .filter(line -> line.startsWith("FaultMatrixTests: "))
                                .count()
                        : 0;
        assertThat(tags).isEqualTo(listed);
    }
}
