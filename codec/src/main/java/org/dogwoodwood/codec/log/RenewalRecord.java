package org.dogwoodwood.codec.log;

import java.util.Objects;
import org.dogwoodwood.core.configuration.AcceptedConfiguration;

/**
 * A copy of the configuration in force, written before its publication expires.
 *
 * @param version the version
 * @param publicationId the publication that it came from
 * @param document the document
 * @param readThrough the offset that the writer had read through when the version was in force
 */
public record RenewalRecord(long version, String publicationId, String document, long readThrough)
        implements LogRecord {

    /** Checks that the references are present. */
    public RenewalRecord {
        Objects.requireNonNull(publicationId, "publicationId");
        Objects.requireNonNull(document, "document");
    }

    /** Returns the record that renews a configuration. */
    public static RenewalRecord of(AcceptedConfiguration statement) {
        return new RenewalRecord(
                statement.version(),
                statement.publicationId(),
                statement.document(),
                statement.readThrough());
    }

    /** Returns the statement that the record makes. */
    public AcceptedConfiguration toStatement() {
        return new AcceptedConfiguration(version, publicationId, document, readThrough);
    }

    @Override
    public String subject() {
        return "configuration";
    }
}
