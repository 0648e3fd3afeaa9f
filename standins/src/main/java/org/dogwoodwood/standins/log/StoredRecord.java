package org.dogwoodwood.standins.log;

import java.util.Objects;

/**
 * One record of a stream.
 *
 * @param offset the position in the stream, from 0
 * @param timestampMillis when the record was appended, in wall-clock milliseconds
 * @param publicationId the id assigned by the writer
 * @param data the content, which must not be modified
 */
@SuppressWarnings("ArrayRecordComponent")
record StoredRecord(long offset, long timestampMillis, String publicationId, byte[] data) {

    StoredRecord {
        Objects.requireNonNull(publicationId, "publicationId");
        Objects.requireNonNull(data, "data");
    }
}
