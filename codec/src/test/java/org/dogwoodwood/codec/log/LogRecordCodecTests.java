package org.dogwoodwood.codec.log;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.dogwoodwood.core.DogwoodwoodException;
import org.dogwoodwood.core.membership.DataCentreOrder;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class LogRecordCodecTests {

    /** Guards against a field that is lost between writer and reader. */
    @Test
    void everyRecordRoundTrips() {
        List<LogRecord> records =
                List.of(
                        new AnnouncementRecord("n", 5, "s", "dc", "127.0.0.1", 1, 2, 3, 4),
                        new LeaveRecord("n", 5),
                        new ExpiryRecord("n", 5, "m"),
                        new DataCentreOrderRecord("dc", 3, DataCentreOrder.State.OUT, "o"),
                        new ConfigurationRecord("p", 7, "{\"services\":{}}"),
                        new RenewalRecord(8, "p", "{}", 99));
        for (LogRecord entry : records) {
            assertThat(LogRecordCodec.decode(LogRecordCodec.encode(entry))).isEqualTo(entry);
        }
    }

    /** Guards against additional keys of a newer release that stop older nodes. */
    @Test
    void unknownKeysAreIgnored() {
        String json = "{\"type\":\"LEAVE\",\"node\":\"n\",\"incarnation\":5,\"reason\":\"x\"}";
        assertThat(LogRecordCodec.decode(json.getBytes(StandardCharsets.UTF_8)))
                .isEqualTo(new LeaveRecord("n", 5));
    }

    /** Guards against an invalid record that stops the reader with an untyped exception. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "null",
                "[]",
                "{}",
                "{\"type\":\"NEW\"}",
                "{\"type\":\"LEAVE\"}",
                "{\"type\":\"LEAVE\",\"node\":null,\"incarnation\":5}",
                "{\"type\":\"LEAVE\",\"node\":\"n\",\"incarnation\":\"x\"}"
            })
    void invalidRecordsAreRejected(String json) {
        byte[] data = json.getBytes(StandardCharsets.UTF_8);
        assertThatThrownBy(() -> LogRecordCodec.decode(data))
                .isInstanceOf(DogwoodwoodException.class);
    }
}
