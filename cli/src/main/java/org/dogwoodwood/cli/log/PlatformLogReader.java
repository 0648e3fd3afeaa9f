package org.dogwoodwood.cli.log;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.dogwoodwood.cli.CommandException;
import org.dogwoodwood.cli.ExitStatus;
import org.dogwoodwood.cli.http.HttpRequestException;
import org.dogwoodwood.cli.http.HttpResponse;
import org.dogwoodwood.cli.http.NetworkAddress;
import org.dogwoodwood.cli.http.SimpleHttpClient;
import org.dogwoodwood.codec.log.LogRecord;
import org.dogwoodwood.codec.log.LogRecordCodec;
import org.dogwoodwood.codec.log.LogStreams;
import org.dogwoodwood.core.DogwoodwoodException;
import org.dogwoodwood.core.ErrorCode;

/** Reads the stream {@code configuration} of the platform log. */
final class PlatformLogReader {

    static final String PATH = "/v1/streams/" + LogStreams.CONFIGURATION + "/records";

    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final int BATCH_SIZE = 500;

    private final SimpleHttpClient http;
    private final NetworkAddress address;

    PlatformLogReader(SimpleHttpClient http, NetworkAddress address) {
        this.http = http;
        this.address = address;
    }

    /**
     * Reads all records from an offset to the current end.
     *
     * @throws CommandException if the log cannot be read
     */
    Batch readFrom(long offset) {
        List<Entry> entries = new ArrayList<>();
        OptionalLong expiredBefore = OptionalLong.empty();
        long next = offset;
        while (true) {
            HttpResponse response = get(next);
            if (response.status() == ErrorCode.OFFSET_EXPIRED.httpStatus()) {
                next = requireNumber(response.json(), "first_offset");
                expiredBefore = OptionalLong.of(next);
                entries.clear();
                continue;
            }
            JsonNode json = requireRecords(response);
            json.get("records").forEach(entry -> entries.add(toEntry(entry)));
            long following = requireNumber(json, "next_offset");
            if (json.get("records").isEmpty() || following <= next) {
                return new Batch(expiredBefore, entries);
            }
            next = following;
        }
    }

    private HttpResponse get(long from) {
        String path = PATH + "?from=" + from + "&max=" + BATCH_SIZE + "&wait_ms=0";
        try {
            return http.get(address, path, Map.of(), TIMEOUT);
        } catch (HttpRequestException e) {
            throw unavailable(e.detail());
        }
    }

    private JsonNode requireRecords(HttpResponse response) {
        if (response.status() == ErrorCode.LOG_UNAVAILABLE.httpStatus()) {
            throw unavailable("It answered that it is down.");
        }
        JsonNode json = response.json();
        if (response.status() != 200 || !json.path("records").isArray()) {
            throw protocolError("It answered " + response.status() + ".");
        }
        return json;
    }

    private long requireNumber(JsonNode json, String field) {
        if (!json.path(field).isIntegralNumber()) {
            throw protocolError("Its answer has no " + field + ".");
        }
        return json.get(field).longValue();
    }

    private Entry toEntry(JsonNode json) {
        byte[] data;
        try {
            data = Base64.getDecoder().decode(json.path("data").asText());
        } catch (IllegalArgumentException e) {
            throw protocolError("A record is not base64.");
        }
        return new Entry(
                requireNumber(json, "offset"),
                Instant.ofEpochMilli(json.path("timestamp_ms").asLong()),
                decode(data));
    }

    /** Decodes a record; returns empty for records of a later release, which nodes skip too. */
    private static Optional<LogRecord> decode(byte[] data) {
        try {
            return Optional.of(LogRecordCodec.decode(data));
        } catch (DogwoodwoodException e) {
            return Optional.empty();
        }
    }

    private CommandException unavailable(String reason) {
        return CommandException.of(
                ExitStatus.UNREACHABLE,
                ErrorCode.LOG_UNAVAILABLE,
                "The platform log at " + address + " cannot be used. " + reason);
    }

    private CommandException protocolError(String reason) {
        return CommandException.of(
                ExitStatus.UNREACHABLE,
                ErrorCode.LOG_PROTOCOL,
                "The process at " + address + " is not a platform log. " + reason);
    }

    /**
     * The records that were read.
     *
     * @param expiredBefore the first retained offset, if earlier records expired before they were
     *     read
     * @param entries the records in order
     */
    record Batch(OptionalLong expiredBefore, List<Entry> entries) {}

    /**
     * A record with its position.
     *
     * @param offset its offset
     * @param time when the log appended it
     * @param content the record, or empty if it cannot be decoded
     */
    record Entry(long offset, Instant time, Optional<LogRecord> content) {}
}
