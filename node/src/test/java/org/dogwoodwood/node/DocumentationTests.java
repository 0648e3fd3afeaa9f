package org.dogwoodwood.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.lang.reflect.Field;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.core.configuration.PolicyDefinition;
import org.dogwoodwood.node.http.Headers;
import org.dogwoodwood.node.logging.LogEvent;
import org.dogwoodwood.node.metrics.NodeMetrics;
import org.dogwoodwood.node.settings.NodeSettings;
import org.dogwoodwood.node.settings.SettingsReader;
import org.junit.jupiter.api.Test;

/** Guards against reference pages that omit what the code defines or describe what it lacks. */
class DocumentationTests {

    private static final Path DOCS = Path.of("..", "docs");

    @Test
    void errorPageListsExactlyTheErrorCodes() throws IOException {
        Map<Integer, List<String>> rows = rows("errors.md");

        assertThat(rows.keySet())
                .containsExactlyInAnyOrderElementsOf(
                        Arrays.stream(ErrorCode.values()).map(ErrorCode::number).toList());
        for (ErrorCode code : ErrorCode.values()) {
            List<String> row = rows.get(code.number());
            assertThat(row.subList(1, 4))
                    .containsExactly(
                            code.name(),
                            Integer.toString(code.httpStatus()),
                            code.outcome().headerValue());
            assertThat(row.get(4)).endsWith(".");
            assertThat(row.get(5)).isEqualTo(code.remedy());
        }
    }

    @Test
    void logEventPageListsExactlyTheEvents() throws IOException {
        Map<Integer, List<String>> rows = rows("log-events.md");

        assertThat(rows.keySet())
                .containsExactlyInAnyOrderElementsOf(
                        Arrays.stream(LogEvent.values()).map(LogEvent::number).toList());
        for (LogEvent event : LogEvent.values()) {
            List<String> row = rows.get(event.number());
            assertThat(row.get(1)).isEqualTo(event.name());
            assertThat(row.get(3)).isEqualTo(event.meaning());
            assertThat(row).hasSize(6).doesNotContain("");
        }
    }

    @Test
    void metricsPageListsEveryMetric() throws IOException {
        NodeMetrics metrics = NodeMetrics.create();
        metrics.onAnswered("s", "c", 200, 1);
        metrics.onAccountRequest("a");
        metrics.onGuardRefusal(ErrorCode.GUARD_BUSY);
        metrics.onIngressError(ErrorCode.OVERLOADED);
        String text = read("metrics.md");

        List<String> names =
                metrics.prometheusText()
                        .lines()
                        .filter(line -> line.startsWith("# TYPE "))
                        .map(line -> line.split(" ", -1)[2])
                        .toList();
        assertThat(names).hasSizeGreaterThan(8).allMatch(name -> text.contains("`" + name + "`"));
    }

    @Test
    void settingsPageHasAValidExample() throws IOException {
        String text = read("settings.md");
        int start = text.indexOf("```toml\n") + "```toml\n".length();
        String example = text.substring(start, text.indexOf("```", start));

        NodeSettings settings = SettingsReader.parse(example);

        assertThat(settings.target()).isPresent();
        assertThat(settings.seeds()).hasSize(2);
    }

    @Test
    void interfacesPageDescribesEveryHeader() throws IOException, IllegalAccessException {
        String text = read("interfaces.md");
        for (Field field : Headers.class.getFields()) {
            assertThat(text).contains("`" + field.get(null) + "`");
        }
        assertThat(text).contains(Integer.toString(PolicyDefinition.DEFAULT_QUEUE_LIMIT_MILLIS));
    }

    private static Map<Integer, List<String>> rows(String file) throws IOException {
        Map<Integer, List<String>> rows = new TreeMap<>();
        for (String line : read(file).lines().toList()) {
            if (line.matches("\\| [0-9]+ \\|.*")) {
                String inner = line.substring(1, line.lastIndexOf('|'));
                List<String> cells =
                        Arrays.stream(inner.split("\\|", -1)).map(String::strip).toList();
                int number = Integer.parseInt(cells.get(0));
                assertThat(rows.put(number, cells)).as("row " + number).isNull();
            }
        }
        return rows;
    }

    private static String read(String file) throws IOException {
        return Files.readString(DOCS.resolve(file));
    }
}
