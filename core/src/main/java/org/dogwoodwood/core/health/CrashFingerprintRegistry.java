package org.dogwoodwood.core.health;

import static org.dogwoodwood.core.Preconditions.checkArgument;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.dogwoodwood.core.model.NodeId;

/**
 * Registry of requests that were in flight when a target crashed. Not thread-safe.
 *
 * <p>Every node holds a copy. Copies that have exchanged their records converge, regardless of the
 * order in which records arrive and of duplicates. Crashes count until a target has answered the
 * request, at whatever node.
 */
public final class CrashFingerprintRegistry {

    /** Stands for no request, in records of crashes of targets. */
    public static final long NO_REQUEST = 0;

    private long holdNanos;
    private final Map<Long, CrashEvents> eventsByFingerprint = new HashMap<>();
    private final CrashEvents targetCrashes = new CrashEvents();

    private CrashFingerprintRegistry(long holdNanos) {
        setHoldNanos(holdNanos);
    }

    /**
     * Returns an empty registry.
     *
     * @param holdNanos the longest hold time of all policies, in nanoseconds; a crash counts for as
     *     long, and one on trial for a multiple of it
     */
    public static CrashFingerprintRegistry create(long holdNanos) {
        return new CrashFingerprintRegistry(holdNanos);
    }

    /** Changes the longest hold time of all policies, in nanoseconds. */
    public void setHoldNanos(long newHoldNanos) {
        checkArgument(newHoldNanos > 0, "The crash hold time must be positive.");
        holdNanos = newHoldNanos;
    }

    /**
     * Records a crash of a target.
     *
     * @param guard the node beside the target
     * @param targetIncarnation the incarnation of the target that crashed
     * @param fingerprints the fingerprints of the requests that were in flight
     * @param tried the request that was on trial, if there was one
     * @param nowNanos the current time on the monotonic clock, in nanoseconds
     */
    public void onCrash(
            NodeId guard,
            long targetIncarnation,
            Set<Long> fingerprints,
            Optional<TrialCrash> tried,
            long nowNanos) {
        merge(recordsOfCrash(guard, targetIncarnation, fingerprints, tried), nowNanos);
    }

    /** Returns the records of a crash of a target that has just happened. */
    public static List<CrashRecord> recordsOfCrash(
            NodeId guard,
            long targetIncarnation,
            Set<Long> fingerprints,
            Optional<TrialCrash> tried) {
        List<CrashRecord> records = new ArrayList<>();
        records.add(
                CrashRecord.ofCrash(
                        NO_REQUEST, CrashKind.TARGET_CRASHED, guard, targetIncarnation));
        for (long fingerprint : fingerprints) {
            CrashKind kind =
                    tried.filter(trial -> trial.fingerprint() == fingerprint)
                            .map(CrashKind::of)
                            .orElse(CrashKind.CRASHED);
            records.add(CrashRecord.ofCrash(fingerprint, kind, guard, targetIncarnation));
        }
        return records;
    }

    /**
     * Records that a target answered a request; has no effect unless that says something new about
     * a request that is suspect.
     *
     * @param ageNanos how long ago the target answered, in nanoseconds; an answer before the first
     *     crash clears nothing, but makes crashes on trial doubtful
     */
    public void onAnswered(
            NodeId guard, long targetIncarnation, long fingerprint, long ageNanos, long nowNanos) {
        if (isNewsOfAnswer(fingerprint, ageNanos, nowNanos)) {
            CrashRecord answer =
                    new CrashRecord(
                            fingerprint,
                            CrashKind.CLEARED,
                            guard,
                            targetIncarnation,
                            nowNanos,
                            ageNanos);
            merge(List.of(answer), nowNanos);
        }
    }

    /** Returns whether an answer says something new about a request that is suspect. */
    public boolean isNewsOfAnswer(long fingerprint, long ageNanos, long nowNanos) {
        boolean isKept = ageNanos < CrashKind.CLEARED.retentionNanos(holdNanos);
        return isKept
                && suspicion(fingerprint, nowNanos)
                        .filter(found -> ageNanos == 0 || !found.answeredBefore())
                        .isPresent();
    }

    /** Returns the evidence against a request, or empty if there is none. */
    public Optional<CrashSuspicion> suspicion(long fingerprint, long nowNanos) {
        CrashEvents events = eventsByFingerprint.get(fingerprint);
        return events == null
                ? Optional.empty()
                : events.suspicion(targetCrashes, holdNanos, nowNanos);
    }

    /** Returns the evidence against all requests that are suspect, by fingerprint. */
    public Map<Long, CrashSuspicion> suspicions(long nowNanos) {
        Map<Long, CrashSuspicion> suspicions = new TreeMap<>();
        for (long fingerprint : eventsByFingerprint.keySet()) {
            suspicion(fingerprint, nowNanos)
                    .ifPresent(suspicion -> suspicions.put(fingerprint, suspicion));
        }
        return suspicions;
    }

    /** Returns all unexpired evidence, for other nodes to merge. */
    public List<CrashRecord> records(long nowNanos) {
        removeExpired(nowNanos);
        List<CrashRecord> records = new ArrayList<>();
        targetCrashes.forEach(
                (event, at) -> records.add(CrashRecord.of(NO_REQUEST, event, nowNanos - at)));
        eventsByFingerprint.forEach(
                (fingerprint, events) ->
                        events.forEach(
                                (event, at) ->
                                        records.add(
                                                CrashRecord.of(
                                                        fingerprint, event, nowNanos - at))));
        return records;
    }

    /**
     * Merges the evidence of another node.
     *
     * @param records its records, not null
     * @param nowNanos the current time in nanoseconds
     */
    public void merge(Collection<CrashRecord> records, long nowNanos) {
        for (CrashRecord record : records) {
            CrashEvent event = CrashEvent.of(record);
            long atNanos = nowNanos - record.ageNanos();
            boolean expired = CrashEvents.isExpired(event, atNanos, holdNanos, nowNanos);
            if (record.ageNanos() >= 0 && !expired) {
                eventsOf(record).add(event, atNanos);
            }
        }
        removeExpired(nowNanos);
    }

    private CrashEvents eventsOf(CrashRecord record) {
        return record.kind() == CrashKind.TARGET_CRASHED
                ? targetCrashes
                : eventsByFingerprint.computeIfAbsent(
                        record.fingerprint(), any -> new CrashEvents());
    }

    private void removeExpired(long nowNanos) {
        targetCrashes.removeExpired(holdNanos, nowNanos);
        eventsByFingerprint.values().forEach(events -> events.removeExpired(holdNanos, nowNanos));
        eventsByFingerprint.values().removeIf(CrashEvents::isEmpty);
    }
}
