package org.dogwoodwood.node.ingress;

import io.vertx.core.buffer.Buffer;
import java.util.Arrays;
import java.util.Objects;
import org.dogwoodwood.core.DogwoodwoodException;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.node.memory.BodyReservation;

/** Collects the body of one request within the limit of its size and the memory for bodies. */
final class RequestBody {

    private final BodyReservation reservation;
    private final long maxBytes;
    private byte[] bytes = {};
    private long expectedBytes;
    private int length;

    /**
     * Creates an empty body.
     *
     * @param maxBytes the maximum size, in bytes
     */
    RequestBody(BodyReservation reservation, long maxBytes) {
        this.reservation = Objects.requireNonNull(reservation, "reservation");
        this.maxBytes = maxBytes;
    }

    /**
     * Reserves the memory for a body of a known length.
     *
     * @throws DogwoodwoodException if the body is too large or there is no memory for it
     */
    void expect(long newExpectedBytes) {
        reserve(newExpectedBytes, newExpectedBytes);
        expectedBytes = newExpectedBytes;
        reservation.onReceived();
    }

    /**
     * Appends the next part.
     *
     * @throws DogwoodwoodException if the body is too large or there is no memory for it
     */
    void append(Buffer chunk) {
        int newLength = length + chunk.length();
        if (newLength > bytes.length) {
            grow(newLength);
        }
        chunk.getBytes(bytes, length);
        length = newLength;
        reservation.onReceived();
    }

    /** Returns the number of bytes that have arrived. */
    int length() {
        return length;
    }

    /** Returns the complete body, which must not be modified. */
    byte[] complete() {
        reservation.onComplete();
        return length == bytes.length ? bytes : Arrays.copyOf(bytes, length);
    }

    /** Drops what has arrived; nothing may be appended afterwards. */
    void drop() {
        bytes = new byte[0];
    }

    private void grow(int newLength) {
        long newCapacity = expectedBytes;
        if (newLength > expectedBytes) {
            newCapacity = Math.max(newLength, Math.min(2L * bytes.length, maxBytes));
            reserve(newLength, newCapacity - Math.max(bytes.length, expectedBytes));
        }
        bytes = Arrays.copyOf(bytes, (int) newCapacity);
    }

    private void reserve(long newLength, long moreBytes) {
        if (newLength > maxBytes) {
            throw new DogwoodwoodException(
                    ErrorCode.REQUEST_TOO_LARGE, "The body exceeds " + maxBytes + " bytes.");
        }
        if (!reservation.tryGrow(moreBytes)) {
            throw new DogwoodwoodException(
                    ErrorCode.OVERLOADED, "The memory for the bodies of requests is used up.");
        }
    }
}
