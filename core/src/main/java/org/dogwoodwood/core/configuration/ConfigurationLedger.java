package org.dogwoodwood.core.configuration;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * The versions of the configuration as a pure function of the order of the log; used by one thread.
 *
 * <p>A publication is accepted if its base version is the version in force at its offset. A reader
 * that has missed records cannot know that version, so it sets publications aside until a renewal
 * or a peer states which version was in force after an offset that it has read from.
 *
 * <p>The version in force never falls: a version learnt from a peer stays in force while the log is
 * read up to it.
 */
public final class ConfigurationLedger {

    private static final int MAX_OUTCOMES = 1_000;

    private final Predicate<String> documentCheck;
    private final Map<String, PublicationOutcome> outcomes = new LinkedHashMap<>();
    private final List<Publication> deferred = new ArrayList<>();
    private AcceptedConfiguration logState = AcceptedConfiguration.none();
    private AcceptedConfiguration inForce = AcceptedConfiguration.none();
    private boolean logStateKnown = true;
    private long firstReadOffset;
    private long nextOffset;

    private ConfigurationLedger(Predicate<String> documentCheck) {
        this.documentCheck = documentCheck;
    }

    /**
     * Returns a ledger that has read nothing.
     *
     * @param documentCheck whether nodes can use a document; a pure function, not null
     */
    public static ConfigurationLedger create(Predicate<String> documentCheck) {
        return new ConfigurationLedger(documentCheck);
    }

    /**
     * Takes in a publication.
     *
     * @param offset its offset in the log
     * @param publicationId its id; a repeated one has no effect
     * @param baseVersion the version that it was edited from
     * @param document the document
     */
    public void onPublication(
            long offset, String publicationId, long baseVersion, String document) {
        if (!advanceTo(offset)) {
            return;
        }
        Publication publication = new Publication(offset, publicationId, baseVersion, document);
        if (logStateKnown) {
            decide(publication);
        } else {
            deferred.add(publication);
        }
    }

    /**
     * Takes in a renewal.
     *
     * @param offset its offset in the log
     * @param renewed the version that its writer had in force, with the offset that the writer had
     *     read through
     */
    public void onRenewal(long offset, AcceptedConfiguration renewed) {
        if (advanceTo(offset)) {
            applyState(renewed);
        }
    }

    /** Takes in a record that says nothing about versions, or cannot be read. */
    public void onOther(long offset) {
        advanceTo(offset);
    }

    /**
     * Takes in the configuration of a peer.
     *
     * @param peerState the version that the peer has in force, not null
     * @return whether it came into force here
     */
    public boolean adopt(AcceptedConfiguration peerState) {
        long before = inForce.version();
        applyState(peerState);
        return inForce.version() > before;
    }

    /**
     * Records that the log no longer holds the records before an offset.
     *
     * @param firstOffset the first retained offset, from which reading goes on
     */
    public void onExpired(long firstOffset) {
        if (firstOffset <= nextOffset) {
            return;
        }
        nextOffset = firstOffset;
        firstReadOffset = firstOffset;
        logStateKnown = false;
        deferred.clear();
    }

    /**
     * Decides publications that were set aside although no renewal and no peer states the version
     * before them: the first retained publication is taken as accepted.
     *
     * @return whether the state of the log was unknown
     */
    public boolean assumeFromFirstRetained() {
        if (logStateKnown) {
            return false;
        }
        long version = inForce.version();
        if (!deferred.isEmpty()) {
            version = Math.max(version, deferred.get(0).baseVersion());
        }
        AcceptedConfiguration assumed =
                new AcceptedConfiguration(
                        version, inForce.publicationId(), inForce.document(), firstReadOffset - 1);
        setLogState(assumed);
        return true;
    }

    /** Returns the configuration in force. */
    public AcceptedConfiguration inForce() {
        return inForce;
    }

    /**
     * Returns the configuration in force with the offset that this reader has read through, as a
     * renewal or a reply to a peer states it; empty if records were missed or not yet read.
     */
    public Optional<AcceptedConfiguration> statement() {
        if (!logStateKnown || logState.version() != inForce.version()) {
            return Optional.empty();
        }
        return Optional.of(
                new AcceptedConfiguration(
                        inForce.version(),
                        inForce.publicationId(),
                        inForce.document(),
                        nextOffset - 1));
    }

    /** Returns what became of a publication, or empty if it has not been read or decided. */
    public Optional<PublicationOutcome> outcome(String publicationId) {
        return Optional.ofNullable(outcomes.get(publicationId));
    }

    /** Returns whether the version in force at the end of what was read follows from the log. */
    public boolean isLogStateKnown() {
        return logStateKnown;
    }

    /** Returns the offset to read next. */
    public long nextOffset() {
        return nextOffset;
    }

    private boolean advanceTo(long offset) {
        if (offset < nextOffset) {
            return false;
        }
        onExpired(offset);
        nextOffset = offset + 1;
        return true;
    }

    private void decide(Publication publication) {
        // A peer's statement may cover records that are read here only later.
        if (publication.offset() <= logState.readThrough()
                || outcomes.containsKey(publication.id())
                || publication.id().equals(logState.publicationId())) {
            return;
        }
        long version = logState.version();
        PublicationOutcome outcome;
        if (publication.baseVersion() != version) {
            outcome =
                    PublicationOutcome.rejected(
                            publication.id(),
                            version,
                            "Version "
                                    + version
                                    + " was in force, not the base version "
                                    + publication.baseVersion()
                                    + ".");
        } else if (!documentCheck.test(publication.document())) {
            outcome =
                    PublicationOutcome.rejected(
                            publication.id(), version, "The document cannot be read.");
        } else {
            outcome = PublicationOutcome.accepted(publication.id(), version + 1);
            logState =
                    new AcceptedConfiguration(
                            version + 1,
                            publication.id(),
                            publication.document(),
                            publication.offset());
            raiseInForce(logState);
        }
        recordOutcome(outcome);
    }

    // A statement is usable if every record after the offset that it read through was seen here.
    private void applyState(AcceptedConfiguration statement) {
        if (statement.version() > 0 && !documentCheck.test(statement.document())) {
            return;
        }
        raiseInForce(statement);
        boolean seenAllAfter = statement.readThrough() >= firstReadOffset - 1;
        if (!logStateKnown && seenAllAfter) {
            setLogState(statement);
        }
    }

    private void setLogState(AcceptedConfiguration state) {
        logState = state;
        logStateKnown = true;
        if (state.version() > 0 && !state.publicationId().isEmpty()) {
            recordOutcome(PublicationOutcome.accepted(state.publicationId(), state.version()));
        }
        List<Publication> later = List.copyOf(deferred);
        deferred.clear();
        later.stream()
                .filter(publication -> publication.offset() > state.readThrough())
                .forEach(this::decide);
    }

    private void raiseInForce(AcceptedConfiguration candidate) {
        if (candidate.version() > inForce.version()) {
            inForce = candidate;
        }
    }

    private void recordOutcome(PublicationOutcome outcome) {
        outcomes.putIfAbsent(outcome.publicationId(), outcome);
        if (outcomes.size() > MAX_OUTCOMES) {
            outcomes.remove(outcomes.keySet().iterator().next());
        }
    }

    private record Publication(long offset, String id, long baseVersion, String document) {}
}
