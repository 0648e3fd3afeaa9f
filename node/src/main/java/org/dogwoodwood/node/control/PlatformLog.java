package org.dogwoodwood.node.control;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import java.util.List;
import org.dogwoodwood.core.DogwoodwoodException;
import org.dogwoodwood.core.ErrorCode;

/** The platform's append-only log. */
public interface PlatformLog {

    /**
     * Appends a record. After a failure, the caller retries with the same publication id.
     *
     * @param stream the stream, not null
     * @param subject the subject of the record; a log may drop earlier records of the same subject
     * @param publicationId the idempotency id of the record, not null
     * @param data its bytes, not null
     * @return the offset, or a failure that is a {@link DogwoodwoodException}
     */
    Future<Long> append(String stream, String subject, String publicationId, byte[] data);

    /**
     * Reads records.
     *
     * @param stream the stream
     * @param from the offset to start at
     * @param max the largest number of records
     * @param waitMillis how long to wait for a record if there is none, in milliseconds
     * @return the records; a {@link OffsetExpiredException} if {@code from} is no longer retained;
     *     another {@link DogwoodwoodException} if the log cannot be read
     */
    Future<Batch> read(String stream, long from, int max, long waitMillis);

    /**
     * Sets the listener for a log that came back from an older copy, which may lack records that it
     * had acknowledged. The log then returns all records again, with offsets above those before.
     */
    default void onRestored(Runnable listener) {}

    /** Closes the connections to the log. */
    Future<Void> close();

    /**
     * The result of a read.
     *
     * @param firstOffset the first retained offset
     * @param nextOffset the offset to read next
     * @param records the records in order
     * @param complete whether the log held no further record when it responded
     */
    record Batch(long firstOffset, long nextOffset, List<RawRecord> records, boolean complete) {

        /** Copies the records. */
        public Batch {
            records = List.copyOf(records);
        }
    }

    /**
     * A record before it is decoded.
     *
     * @param offset its offset
     * @param timestampMillis when the log accepted it, in milliseconds of the log's clock
     * @param publicationId the id that its writer assigned
     * @param data its bytes
     */
    record RawRecord(long offset, long timestampMillis, String publicationId, Buffer data) {}

    /** Signals a read from an offset that the log no longer retains. */
    final class OffsetExpiredException extends DogwoodwoodException {

        private static final long serialVersionUID = 1L;

        private final long firstOffset;

        /** Creates the failure; {@code firstOffset} is the first retained offset. */
        public OffsetExpiredException(long firstOffset) {
            super(ErrorCode.OFFSET_EXPIRED, "The log begins at offset " + firstOffset + ".");
            this.firstOffset = firstOffset;
        }

        /** Returns the first retained offset. */
        public long firstOffset() {
            return firstOffset;
        }
    }
}
