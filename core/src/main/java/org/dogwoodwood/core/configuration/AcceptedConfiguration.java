package org.dogwoodwood.core.configuration;

import java.util.Objects;

/**
 * A configuration document that is or was in force.
 *
 * @param version the version
 * @param publicationId the id of the publication that contained it; empty for version 0
 * @param document the document; empty for version 0
 * @param readThrough the log offset after which the version was in force, or -1 if it was in force
 *     before the first record
 */
public record AcceptedConfiguration(
        long version, String publicationId, String document, long readThrough) {

    private static final AcceptedConfiguration NONE = new AcceptedConfiguration(0, "", "", -1);

    /** Checks that the references are present. */
    public AcceptedConfiguration {
        Objects.requireNonNull(publicationId, "publicationId");
        Objects.requireNonNull(document, "document");
    }

    /** Returns version 0, before the first publication. */
    public static AcceptedConfiguration none() {
        return NONE;
    }
}
