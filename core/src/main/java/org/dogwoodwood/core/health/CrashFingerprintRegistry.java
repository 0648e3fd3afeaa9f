package org.dogwoodwood.core.health;

import static org.dogwoodwood.core.Preconditions.checkArgument;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
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

    private record Evidence(CrashKind kind, NodeId guard, long targetIncarnation, long sequence) {}

    private long holdNanos;
    private final Map<Long, Map<Evidence, Long>> evidenceByFingerprint = new HashMap<>();

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
     * Records the requests that were in flight when a target crashed.
     *
     * @param guard the node beside the target
     * @param targetIncarnation the incarnation of the target that crashed
     * @param fingerprints the fingerprints of the requests that were in flight
     * @param nowNanos the current time on the monotonic clock, in nanoseconds
     */
    public void onCrash(
            NodeId guard, long targetIncarnation, Set<Long> fingerprints, long nowNanos) {
        Evidence crash = new Evidence(CrashKind.CRASHED, guard, targetIncarnation, 0);
        fingerprints.forEach(fingerprint -> addEvidence(fingerprint, crash, nowNanos));
    }

    /** Records that a target crashed while it ran a request on trial. */
    public void onTrialCrash(
            NodeId guard, long targetIncarnation, long fingerprint, long nowNanos) {
        Evidence crash = new Evidence(CrashKind.TRIAL_CRASHED, guard, targetIncarnation, 0);
        addEvidence(fingerprint, crash, nowNanos);
    }

    /** Records that a target answered a request; has no effect unless the request is suspect. */
    public void onAnswered(NodeId guard, long targetIncarnation, long fingerprint, long nowNanos) {
        if (suspicion(fingerprint, nowNanos).isPresent()) {
            Evidence answer = new Evidence(CrashKind.CLEARED, guard, targetIncarnation, nowNanos);
            addEvidence(fingerprint, answer, nowNanos);
        }
    }

    /** Returns the evidence against a request, or empty if there is none. */
    public Optional<CrashSuspicion> suspicion(long fingerprint, long nowNanos) {
        Map<Evidence, Long> evidence = evidenceByFingerprint.getOrDefault(fingerprint, Map.of());
        long clearedAt = Long.MIN_VALUE;
        for (Map.Entry<Evidence, Long> entry : evidence.entrySet()) {
            if (!entry.getKey().kind().isCrash()) {
                clearedAt = Math.max(clearedAt, entry.getValue());
            }
        }
        int crashes = 0;
        int trialCrashes = 0;
        long lastCrashNanos = Long.MIN_VALUE;
        for (Map.Entry<Evidence, Long> entry : evidence.entrySet()) {
            CrashKind kind = entry.getKey().kind();
            long at = entry.getValue();
            if (kind.isCrash() && at >= clearedAt && !isExpired(kind, at, nowNanos)) {
                crashes++;
                trialCrashes += kind == CrashKind.TRIAL_CRASHED ? 1 : 0;
                lastCrashNanos = Math.max(lastCrashNanos, at);
            }
        }
        return crashes == 0
                ? Optional.empty()
                : Optional.of(new CrashSuspicion(crashes, trialCrashes, lastCrashNanos));
    }

    /** Returns the evidence against all requests that are suspect, by fingerprint. */
    public Map<Long, CrashSuspicion> suspicions(long nowNanos) {
        Map<Long, CrashSuspicion> suspicions = new TreeMap<>();
        for (long fingerprint : evidenceByFingerprint.keySet()) {
            suspicion(fingerprint, nowNanos)
                    .ifPresent(suspicion -> suspicions.put(fingerprint, suspicion));
        }
        return suspicions;
    }

    /** Returns all unexpired evidence, for other nodes to merge. */
    public List<CrashRecord> records(long nowNanos) {
        removeExpired(nowNanos);
        List<CrashRecord> records = new ArrayList<>();
        evidenceByFingerprint.forEach(
                (fingerprint, evidence) ->
                        evidence.forEach(
                                (what, at) ->
                                        records.add(
                                                new CrashRecord(
                                                        fingerprint,
                                                        what.kind(),
                                                        what.guard(),
                                                        what.targetIncarnation(),
                                                        what.sequence(),
                                                        nowNanos - at))));
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
            long atNanos = nowNanos - record.ageNanos();
            if (record.ageNanos() >= 0 && !isExpired(record.kind(), atNanos, nowNanos)) {
                Evidence what =
                        new Evidence(
                                record.kind(),
                                record.guard(),
                                record.targetIncarnation(),
                                record.sequence());
                addEvidence(record.fingerprint(), what, atNanos);
            }
        }
        removeExpired(nowNanos);
    }

    private boolean isExpired(CrashKind kind, long atNanos, long nowNanos) {
        return nowNanos - atNanos >= kind.retentionNanos(holdNanos);
    }

    private void addEvidence(long fingerprint, Evidence what, long atNanos) {
        Map<Evidence, Long> evidence =
                evidenceByFingerprint.computeIfAbsent(fingerprint, any -> new LinkedHashMap<>());
        // Transit time makes each received copy appear younger than it is, so the oldest time is
        // the most accurate.
        evidence.merge(what, atNanos, Math::min);
    }

    private void removeExpired(long nowNanos) {
        evidenceByFingerprint
                .values()
                .forEach(
                        evidence ->
                                evidence.entrySet()
                                        .removeIf(
                                                entry ->
                                                        isExpired(
                                                                entry.getKey().kind(),
                                                                entry.getValue(),
                                                                nowNanos)));
        evidenceByFingerprint.values().removeIf(Map::isEmpty);
    }
}
