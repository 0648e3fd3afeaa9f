package org.dogwoodwood.codec.log;

import java.util.Objects;
import org.dogwoodwood.core.configuration.AcceptedConfiguration;

/**
 * Repeats the configuration in force before its publication record expires from the log.
 *
 * @param version the version of the configuration
 * @param publicationId the id of the original publication
 * @param document the document of {@code ConfigurationJsonCodec}
 * @param readThrough the offset up to which the writer had read when the version was in force
 */
public record RenewalRecord(long version, String publicationId, String document, long readThrough)
        implements LogRecord {

    /** Checks that the references are present. */
    public RenewalRecord {
        Objects.requireNonNull(publicationId, "publicationId");
        Objects.requireNonNull(document, "document");
    }

    /** Returns the record that renews a configuration. */
    public static RenewalRecord of(AcceptedConfiguration configuration) {
        return new RenewalRecord(
                configuration.version(),
                configuration.publicationId(),
                configuration.document(),
                configuration.readThrough());
    }

    /** Returns the accepted configuration in this record. */
    public AcceptedConfiguration toAcceptedConfiguration() {
        return new AcceptedConfiguration(version, publicationId, document, readThrough);
    }

    @Override
    public String subject() {
        return "configuration";
    }
}
