package org.dogwoodwood.codec.log;

import java.util.Objects;

/**
 * Publishes a configuration.
 *
 * @param publicationId the id of the publication
 * @param baseVersion the version on which the edit was based
 * @param document the document of {@code ConfigurationJsonCodec}, embedded as a string so that its
 *     hash does not change
 */
public record ConfigurationRecord(String publicationId, long baseVersion, String document)
        implements LogRecord {

    /** Checks that the references are present. */
    public ConfigurationRecord {
        Objects.requireNonNull(publicationId, "publicationId");
        Objects.requireNonNull(document, "document");
    }

    @Override
    public String subject() {
        return "configuration";
    }
}
