package org.dogwoodwood.node.control;

import java.util.Objects;
import org.dogwoodwood.codec.log.LogRecord;

/**
 * A decoded record of the log.
 *
 * @param offset its offset
 * @param timestampMillis when the log accepted it, in milliseconds of the log's clock
 * @param publicationId the id that its writer assigned
 * @param content the record
 */
public record LogEntry(long offset, long timestampMillis, String publicationId, LogRecord content) {

    /** Checks that the references are present. */
    public LogEntry {
        Objects.requireNonNull(publicationId, "publicationId");
        Objects.requireNonNull(content, "content");
    }
}
