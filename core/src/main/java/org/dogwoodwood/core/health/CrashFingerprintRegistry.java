package org.dogwoodwood.core.health;

import static org.dogwoodwood.core.Preconditions.checkArgument;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.core.model.CallDescription;
import org.dogwoodwood.core.model.CallId;
import org.dogwoodwood.core.model.NodeId;
import org.dogwoodwood.core.model.RendezvousHash;

/**
 * Registry of requests that were in flight when a target crashed. Not thread-safe.
 *
 * <p>Every node holds a copy. Copies that have exchanged their records converge, regardless of the
 * order in which records arrive and of duplicates.
 */
public final class CrashFingerprintRegistry {

    private record Evidence(
            CrashRecord.Kind kind, NodeId guard, long targetIncarnation, long sequence) {}

    private record Trial(CallId call, int attempt) {}

    private int crashLimit;
    private long holdNanos;
    private final Map<Long, Map<Evidence, Long>> evidenceByFingerprint = new HashMap<>();
    private final Map<Long, Trial> trials = new HashMap<>();

    private CrashFingerprintRegistry(int crashLimit, long holdNanos) {
        setPolicy(crashLimit, holdNanos);
    }

    /**
     * Returns an empty registry.
     *
     * @param crashLimit the number of crashes after which a request is refused
     * @param holdNanos how long a crash is counted, in nanoseconds
     */
    public static CrashFingerprintRegistry create(int crashLimit, long holdNanos) {
        return new CrashFingerprintRegistry(crashLimit, holdNanos);
    }

    /**
     * Changes the policy.
     *
     * @param newCrashLimit the number of crashes after which a request is refused, at least 1
     * @param newHoldNanos how long a crash is counted, in nanoseconds
     */
    public void setPolicy(int newCrashLimit, long newHoldNanos) {
        checkArgument(newCrashLimit > 0, "The crash limit must be at least 1.");
        checkArgument(newHoldNanos > 0, "The crash hold time must be positive.");
        crashLimit = newCrashLimit;
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
        Evidence crash = new Evidence(CrashRecord.Kind.CRASHED, guard, targetIncarnation, 0);
        fingerprints.forEach(fingerprint -> addEvidence(fingerprint, crash, nowNanos));
    }

    /** Returns the crash status of a request. */
    public CrashStatus status(long fingerprint, long nowNanos) {
        int crashes = crashes(fingerprint, nowNanos);
        if (crashes == 0) {
            return CrashStatus.CLEAR;
        }
        return crashes >= crashLimit ? CrashStatus.BLOCKED : CrashStatus.SUSPECT;
    }

    /**
     * Returns the only node that may run a suspect request, or empty if there are no targets.
     *
     * @param fingerprint the fingerprint of the request
     * @param targets the nodes whose targets accept new calls, not null
     */
    public static Optional<NodeId> trialTarget(long fingerprint, Collection<NodeId> targets) {
        return RendezvousHash.first("trial\n" + fingerprint, targets);
    }

    /**
     * Decides at a guard whether an attempt may start now. A suspect request that may start is on
     * trial until {@link #endTrial}.
     *
     * @param call the attempt, not null
     * @param self the node of this guard
     * @param targets the nodes whose targets accept new calls, not null
     * @param nowNanos the current time in nanoseconds
     * @return why the attempt must not start, or empty if it may
     */
    public Optional<ErrorCode> beginTrial(
            CallDescription call, NodeId self, Collection<NodeId> targets, long nowNanos) {
        long fingerprint = call.fingerprint();
        return switch (status(fingerprint, nowNanos)) {
            case CLEAR -> Optional.empty();
            case BLOCKED -> Optional.of(ErrorCode.CRASHING_REQUEST);
            case SUSPECT -> {
                boolean here = trialTarget(fingerprint, targets).filter(self::equals).isPresent();
                Trial trial = new Trial(call.id(), call.attempt());
                yield here && trials.putIfAbsent(fingerprint, trial) == null
                        ? Optional.empty()
                        : Optional.of(ErrorCode.GUARD_BUSY);
            }
        };
    }

    /**
     * Ends the trial of a suspect request; has no effect on an attempt that was not on trial.
     *
     * @param call the attempt, not null
     * @param self the node of this guard
     * @param targetIncarnation the incarnation of the target that ran the attempt
     * @param answered whether the target answered the attempt, which clears the request
     * @param nowNanos the current time in nanoseconds
     */
    public void endTrial(
            CallDescription call,
            NodeId self,
            long targetIncarnation,
            boolean answered,
            long nowNanos) {
        long fingerprint = call.fingerprint();
        if (trials.remove(fingerprint, new Trial(call.id(), call.attempt())) && answered) {
            addEvidence(
                    fingerprint,
                    new Evidence(CrashRecord.Kind.CLEARED, self, targetIncarnation, nowNanos),
                    nowNanos);
        }
    }

    /** Returns the fingerprints of all requests with the given status. */
    public Set<Long> fingerprints(CrashStatus status, long nowNanos) {
        return evidenceByFingerprint.keySet().stream()
                .filter(fingerprint -> status(fingerprint, nowNanos) == status)
                .collect(
                        Collectors.collectingAndThen(
                                Collectors.toCollection(TreeSet::new),
                                Collections::unmodifiableSet));
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
            if (record.ageNanos() >= 0 && record.ageNanos() < holdNanos) {
                Evidence what =
                        new Evidence(
                                record.kind(),
                                record.guard(),
                                record.targetIncarnation(),
                                record.sequence());
                addEvidence(record.fingerprint(), what, nowNanos - record.ageNanos());
            }
        }
        removeExpired(nowNanos);
    }

    private int crashes(long fingerprint, long nowNanos) {
        Map<Evidence, Long> evidence = evidenceByFingerprint.getOrDefault(fingerprint, Map.of());
        long clearedAt =
                evidence.entrySet().stream()
                        .filter(entry -> entry.getKey().kind() == CrashRecord.Kind.CLEARED)
                        .mapToLong(Map.Entry::getValue)
                        .max()
                        .orElse(Long.MIN_VALUE);
        return (int)
                evidence.entrySet().stream()
                        .filter(entry -> entry.getKey().kind() == CrashRecord.Kind.CRASHED)
                        .mapToLong(Map.Entry::getValue)
                        .filter(at -> at >= clearedAt && nowNanos - at < holdNanos)
                        .count();
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
                .forEach(map -> map.values().removeIf(at -> nowNanos - at >= holdNanos));
        evidenceByFingerprint.values().removeIf(Map::isEmpty);
    }
}
