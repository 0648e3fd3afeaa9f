package org.dogwoodwood.codec.gossip;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.dogwoodwood.core.DogwoodwoodException;
import org.dogwoodwood.core.ErrorCode;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Writes and reads MessagePack payloads; sizes are checked before memory is allocated. */
final class Payloads {

    private Payloads() {}

    /** Returns the payload that a writer packs. */
    static byte[] write(Writer writer) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            writer.write(packer);
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("The payload cannot be encoded as MessagePack.", e);
        }
    }

    /**
     * Returns the value that a reader unpacks from a payload.
     *
     * @throws DogwoodwoodException if the payload is malformed
     */
    static <T> T read(byte[] payload, Reader<T> reader) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(payload)) {
            return reader.read(unpacker);
        } catch (IOException
                | MessagePackException
                | IllegalArgumentException
                | IndexOutOfBoundsException e) {
            throw new DogwoodwoodException(
                    ErrorCode.FRAME_MALFORMED, "A control frame cannot be decoded.", e);
        }
    }

    static void expectArrayHeader(MessageUnpacker unpacker, int size) throws IOException {
        if (unpacker.unpackArrayHeader() != size) {
            throw new IllegalArgumentException(
                    "An array does not have the expected number of elements.");
        }
    }

    static int readArrayHeader(MessageUnpacker unpacker, int max) throws IOException {
        int size = unpacker.unpackArrayHeader();
        if (size > max) {
            throw new IllegalArgumentException("An array has too many elements.");
        }
        return size;
    }

    static String readString(MessageUnpacker unpacker, int maxBytes) throws IOException {
        int length = unpacker.unpackRawStringHeader();
        if (length > maxBytes) {
            throw new IllegalArgumentException("A string is too long.");
        }
        return new String(unpacker.readPayload(length), StandardCharsets.UTF_8);
    }

    interface Writer {
        void write(MessagePacker packer) throws IOException;
    }

    interface Reader<T> {
        T read(MessageUnpacker unpacker) throws IOException;
    }
}
