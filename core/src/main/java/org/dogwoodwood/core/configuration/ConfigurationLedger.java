package org.dogwoodwood.core.configuration;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * The versions of the configuration as a pure function of the log. Not thread-safe.
 *
 * <p>A publication is accepted if its base version is the version in force at its offset. A reader
 * that has missed records does not know that version, so it defers publications until a renewal or
 * a peer reports the version in force at an offset after which the reader has seen all records.
 *
 * <p>The version in force never decreases: a version received from a peer stays in force while the
 * log is read up to it.
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
     * Creates a ledger that has not read any record.
     *
     * @param documentCheck returns whether nodes can use a document; a pure function, not null
     */
    public static ConfigurationLedger create(Predicate<String> documentCheck) {
        return new ConfigurationLedger(documentCheck);
    }

    /**
     * Applies a publication.
     *
     * @param offset its offset in the log
     * @param publicationId its id; a publication with a known id has no effect
     * @param baseVersion the version that it was derived from
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
     * Applies a renewal.
     *
     * @param offset its offset in the log
     * @param renewed the configuration in force at its writer, with the last offset that the writer
     *     had read
     */
    public void onRenewal(long offset, AcceptedConfiguration renewed) {
        if (advanceTo(offset)) {
            applyState(renewed);
        }
    }

    /** Applies a record that does not concern versions or cannot be read. */
    public void onOtherRecord(long offset) {
        advanceTo(offset);
    }

    /**
     * Applies the configuration of a peer.
     *
     * @param peerState the configuration in force at the peer, not null
     * @return whether it came into force at this node
     */
    public boolean adopt(AcceptedConfiguration peerState) {
        long before = inForce.version();
        applyState(peerState);
        return inForce.version() > before;
    }

    /**
     * Records that the log no longer retains the records before an offset.
     *
     * @param firstOffset the first retained offset, from which reading continues
     */
    public void onRecordsExpired(long firstOffset) {
        if (firstOffset <= nextOffset) {
            return;
        }
        nextOffset = firstOffset;
        firstReadOffset = firstOffset;
        logStateKnown = false;
        deferred.clear();
    }

    /**
     * Decides deferred publications when no renewal and no peer has reported the version before
     * them: the first retained publication is assumed to be accepted.
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
     * Returns the configuration in force with the last offset read, for a renewal or a reply to a
     * peer. Empty if the state of the log is unknown after missed records, or if a version from a
     * peer is in force that this reader has not reached in the log.
     */
    public Optional<AcceptedConfiguration> confirmedState() {
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

    /**
     * Returns the outcome of a publication, or empty if it was not read or decided, or is no longer
     * retained.
     */
    public Optional<PublicationOutcome> outcome(String publicationId) {
        return Optional.ofNullable(outcomes.get(publicationId));
    }

    /** Returns whether the version in force at the last offset read is known from the log. */
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
        onRecordsExpired(offset);
        nextOffset = offset + 1;
        return true;
    }

    private void decide(Publication publication) {
        // The state reported by a peer may include records that are read here only later.
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

    // The state of the log can be derived from a reported state only if this reader has seen every
    // record after the offset of that state.
    private void applyState(AcceptedConfiguration reported) {
        if (reported.version() > 0 && !documentCheck.test(reported.document())) {
            return;
        }
        raiseInForce(reported);
        boolean hasReadAllAfter = reported.readThrough() >= firstReadOffset - 1;
        if (!logStateKnown && hasReadAllAfter) {
            setLogState(reported);
        }
    }

    private void setLogState(AcceptedConfiguration state) {
        logState = state;
        logStateKnown = true;
        if (state.version() > 0 && !state.publicationId().isEmpty()) {
            recordOutcome(PublicationOutcome.accepted(state.publicationId(), state.version()));
        }
        List<Publication> deferredPublications = List.copyOf(deferred);
        deferred.clear();
        deferredPublications.stream()
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
