package org.dogwoodwood.core.configuration;

import java.util.Objects;

/**
 * The outcome of a publication.
 *
 * @param publicationId the id of the publication
 * @param accepted whether it came into force
 * @param version the version that it was accepted as, or the version in force when it was rejected
 * @param reason the reason for its rejection, empty if it was accepted
 */
public record PublicationOutcome(
        String publicationId, boolean accepted, long version, String reason) {

    /** Checks that the references are present. */
    public PublicationOutcome {
        Objects.requireNonNull(publicationId, "publicationId");
        Objects.requireNonNull(reason, "reason");
    }

    static PublicationOutcome accepted(String publicationId, long version) {
        return new PublicationOutcome(publicationId, true, version, "");
    }

    static PublicationOutcome rejected(String publicationId, long version, String reason) {
        return new PublicationOutcome(publicationId, false, version, reason);
    }
}
