package org.dogwoodwood.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against failed requests whose log lines only make sense to those who know the code. */
class TraceCommandTests {

    private static final String INGRESS =
            "time=2026-12-04T05:27:59.446Z level=INFO event=451 name=CALL_REFUSED request=f26c"
                    + " service=spots class=priority-2 error=OVERLOADED attempts=1 targets=4"
                    + " limit_ms=685 age_ms=4\n"
                    + "time=2026-12-04T05:27:59.600Z level=INFO event=455 name=CALL_CANCELLED"
                    + " request=f26cab service=spots attempts=1 age_ms=7\n";
    private static final String GUARD =
            "time=2026-12-04T05:27:59.444Z level=INFO event=457 name=GUARD_REFUSED request=f26c"
                + " ingress=n-2 attempt=0 error=OVERLOADED state=WARM in_flight=6 queued=4 limit=6"
                + " slowdown=1.0 left_ms=679\n"
                + "a line of another program\n";

    @TempDir private Path directory;

    @Test
    void mergesLinesOfAllNodesAndPrintsCauseLast() throws IOException {
        Files.writeString(directory.resolve("ingress.log"), INGRESS);
        Files.writeString(directory.resolve("guard.log"), GUARD);

        ToolRun run = ToolRun.of(directory, "trace", "f26c", "ingress.log", "guard.log");

        String[] lines = run.out().split("\n");
        assertThat(run.status()).isEqualTo(ExitStatus.OK);
        assertThat(lines).hasSize(3);
        assertThat(lines[0]).contains("GUARD_REFUSED");
        assertThat(lines[1]).contains("CALL_REFUSED");
        assertThat(lines[2])
                .startsWith("Cause: Refused and not run: OVERLOADED after 4 ms")
                .contains("6 calls in flight of 6, 4 queued");
    }

    @Test
    void readsStandardInputAndReportsUnknownRequest() {
        ByteArrayInputStream in = new ByteArrayInputStream(GUARD.getBytes(StandardCharsets.UTF_8));
        ToolRun guardOnly = ToolRun.of(in, directory, Map.of(), "trace", "f26c", "-");
        ToolRun unknown = ToolRun.of(directory, "trace", "beef", "-");

        assertThat(guardOnly.out()).contains("No node logged the end of the request");
        assertThat(unknown.status()).isEqualTo(ExitStatus.USAGE);
        assertThat(unknown.err()).contains("No line is about request beef.");
    }
}
