package org.dogwoodwood.codec.log;

import java.util.Objects;

/**
 * A publication of a configuration.
 *
 * @param publicationId the id of the publication
 * @param baseVersion the version that it was edited from
 * @param document the document of {@code ConfigurationJsonCodec}, as a text so that its hash is
 *     kept
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
