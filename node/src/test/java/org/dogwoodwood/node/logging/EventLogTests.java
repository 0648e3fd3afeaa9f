package org.dogwoodwood.node.logging;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import org.junit.jupiter.api.Test;

/** Guards against log lines that callers can forge or that programs cannot parse. */
class EventLogTests {

    @Test
    void writesKeysAndValues() {
        assertThat(EventLog.format(LogEvent.PEER_SILENT, 0, "peer", "a:1", "missed", 3))
                .isEqualTo("event=203 name=PEER_SILENT peer=a:1 missed=3");
        assertThat(EventLog.format(LogEvent.PEER_SILENT, 7)).endsWith(" suppressed=7");
    }

    @Test
    void quotesValuesAndKeepsThemOnOneLine() {
        String line =
                EventLog.format(
                        LogEvent.PEER_REFUSED, 0, "reason", "a \"b\"\nevent=101 \\", "empty", "");

        assertThat(line).endsWith("reason=\"a \\\"b\\\" event=101 \\\\\" empty=\"\"");
    }

    @Test
    void numbersAreUnique() {
        assertThat(Arrays.stream(LogEvent.values()).map(LogEvent::number)).doesNotHaveDuplicates();
    }
}
