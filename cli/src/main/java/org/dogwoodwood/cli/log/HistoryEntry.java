package org.dogwoodwood.cli.log;

import java.time.Instant;
import java.util.Optional;
import org.dogwoodwood.core.configuration.PublicationOutcome;

/**
 * A publication that the log retains.
 *
 * @param time when the log appended it
 * @param publicationId its id
 * @param baseVersion the version that it was edited from
 * @param outcome its outcome, or empty if it can no longer be determined
 */
public record HistoryEntry(
        Instant time,
        String publicationId,
        long baseVersion,
        Optional<PublicationOutcome> outcome) {}
