package org.dogwoodwood.codec.wire;

import java.io.IOException;
import java.nio.charset.CodingErrorAction;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.dogwoodwood.core.calls.AttemptId;
import org.dogwoodwood.core.model.CallId;
import org.dogwoodwood.core.model.HeaderField;
import org.dogwoodwood.core.model.LoadReport;
import org.dogwoodwood.core.model.NodeId;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.value.ValueType;

/** Reads the elements of one frame; a declared size never allocates more than the frame holds. */
final class BoundedReader implements AutoCloseable {

    private static final MessagePack.UnpackerConfig CONFIG =
            new MessagePack.UnpackerConfig()
                    .withStringSizeLimit(WireLimits.MAX_TEXT_BYTES)
                    .withActionOnMalformedString(CodingErrorAction.REPORT)
                    .withActionOnUnmappableString(CodingErrorAction.REPORT);

    // Longer times could overflow the monotonic clock; one day exceeds every timeout.
    private static final long MAX_REMAINING_MILLIS = 86_400_000L;

    private final int size;
    private final MessageUnpacker unpacker;
    private final KnownTexts texts;

    private BoundedReader(byte[] payload, KnownTexts texts) {
        this.texts = texts;
        this.size = payload.length;
        this.unpacker = CONFIG.newUnpacker(payload);
    }

    static BoundedReader of(byte[] payload, KnownTexts texts) {
        return new BoundedReader(payload, texts);
    }

    int readArrayHeader() throws IOException {
        return unpacker.unpackArrayHeader();
    }

    int readInt() throws IOException {
        return unpacker.unpackInt();
    }

    long readLong() throws IOException {
        return unpacker.unpackLong();
    }

    boolean readBoolean() throws IOException {
        return unpacker.unpackBoolean();
    }

    String readText() throws IOException {
        boolean numbered = unpacker.getNextFormat().getValueType() == ValueType.INTEGER;
        return numbered ? texts.get(unpacker.unpackInt()) : unpacker.unpackString();
    }

    List<String> readTexts() throws IOException {
        int size = readArrayHeader();
        if (size > KnownTexts.MAX_TEXTS) {
            throw new IllegalArgumentException("A peer tells " + size + " texts.");
        }
        List<String> told = new ArrayList<>(size);
        for (int i = 0; i < size; i++) {
            told.add(unpacker.unpackString());
        }
        return told;
    }

    Optional<String> readOptionalText() throws IOException {
        return unpacker.tryUnpackNil() ? Optional.empty() : Optional.of(readText());
    }

    NodeId readNodeId() throws IOException {
        return NodeId.of(readText());
    }

    long readRemainingMillis() throws IOException {
        long millis = readLong();
        return Math.max(0, Math.min(millis, MAX_REMAINING_MILLIS));
    }

    byte[] readBytes() throws IOException {
        int length = unpacker.unpackBinaryHeader();
        long remaining = size - unpacker.getTotalReadBytes();
        if (length < 0 || length > remaining) {
            throw new IllegalArgumentException(
                    "A body declares " + length + " bytes, but only " + remaining + " remain.");
        }
        return unpacker.readPayload(length);
    }

    <T> T readEnum(List<T> values) throws IOException {
        int number = readInt();
        if (number < 0 || number >= values.size()) {
            throw new IllegalArgumentException(
                    "An enum field has the unknown number " + number + ".");
        }
        return values.get(number);
    }

    AttemptId readAttempt() throws IOException {
        expectArrayHeader(3);
        CallId call = CallId.of(readNodeId(), readLong(), readLong());
        return AttemptId.of(call, readInt());
    }

    List<HeaderField> readHeaders() throws IOException {
        int elements = readArrayHeader();
        if (elements % 2 != 0 || elements > 2 * WireLimits.MAX_HEADERS) {
            throw new IllegalArgumentException("A header list has " + elements + " elements.");
        }
        List<HeaderField> headers = new ArrayList<>(elements / 2);
        for (int i = 0; i < elements / 2; i++) {
            headers.add(HeaderField.of(readText(), readText()));
        }
        return headers;
    }

    Optional<LoadReport> readReport() throws IOException {
        if (unpacker.tryUnpackNil()) {
            return Optional.empty();
        }
        expectArrayHeader(12);
        return Optional.of(
                new LoadReport(
                        readNodeId(),
                        readLong(),
                        readLong(),
                        readInt(),
                        readInt(),
                        readInt(),
                        readInt(),
                        readLong(),
                        unpacker.unpackDouble(),
                        readEnum(EnumNumbers.STATES),
                        unpacker.unpackDouble(),
                        readInt()));
    }

    void checkEnd() {
        if (unpacker.getTotalReadBytes() != size) {
            throw new IllegalArgumentException("The payload continues after the frame.");
        }
    }

    @Override
    public void close() throws IOException {
        unpacker.close();
    }

    private void expectArrayHeader(int expected) throws IOException {
        int actual = readArrayHeader();
        if (actual != expected) {
            throw new IllegalArgumentException(
                    "A nested array has " + actual + " elements instead of " + expected + ".");
        }
    }
}
