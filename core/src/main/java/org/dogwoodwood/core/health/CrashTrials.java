package org.dogwoodwood.core.health;

import java.util.Collection;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.core.model.CallDescription;
import org.dogwoodwood.core.model.CallId;
import org.dogwoodwood.core.model.NodeId;
import org.dogwoodwood.core.model.RendezvousHash;

/**
 * The trials of blocked requests at one guard. Not thread-safe.
 *
 * <p>A blocked request is tried at one target of its service, and a guard tries one request at a
 * time: if the target answers, the request was blocked wrongly, and if it crashes then, that is
 * stronger evidence than a crash with any request in flight.
 */
public final class CrashTrials {

    /** How long after its connection broke a trial waits for the poll that shows a crash. */
    private static final long VERDICT_NANOS = 2_000_000_000L;

    /**
     * A target that has run a request for longer did not crash because it began to run it. Allows
     * for a short time in the target's own queue.
     */
    private static final long BEGIN_NANOS = 300_000_000L;

    private final NodeId self;
    private Trial current;

    private CrashTrials(NodeId self) {
        this.self = Objects.requireNonNull(self, "self");
    }

    /** Returns the trials of a guard, of which none is running. */
    public static CrashTrials create(NodeId self) {
        return new CrashTrials(self);
    }

    /**
     * Returns the only node at which a blocked request may be tried, or empty if there is none.
     *
     * @param fingerprint the fingerprint of the request
     * @param targets the nodes whose targets accept new calls, not null
     */
    public static Optional<NodeId> targetOf(long fingerprint, Collection<NodeId> targets) {
        return RendezvousHash.first("trial\n" + fingerprint, targets);
    }

    /**
     * Returns why a blocked request may not be tried here now, or empty if it may.
     *
     * @param call the attempt, not null
     * @param suspicion the evidence against the request, not null
     * @param targets the nodes whose targets accept new calls, not null; a call whose key binds it
     *     to this node is tried here whatever they are
     * @param nowNanos the current time on the monotonic clock, in nanoseconds
     */
    public Optional<ErrorCode> refusal(
            CallDescription call,
            CrashSuspicion suspicion,
            CrashPolicy policy,
            Collection<NodeId> targets,
            long nowNanos) {
        boolean here =
                call.key().isPresent()
                        || targetOf(call.fingerprint(), targets).filter(self::equals).isPresent();
        boolean mayTry = here && suspicion.isTrialDue(policy, nowNanos) && !isRunning(nowNanos);
        return mayTry ? Optional.empty() : Optional.of(ErrorCode.CRASHING_REQUEST);
    }

    /** Records that a blocked request starts at the target. */
    public void begin(CallDescription call, long nowNanos) {
        current =
                new Trial(
                        call.id(), call.attempt(), call.fingerprint(), nowNanos, Optional.empty());
    }

    /** Returns whether an attempt is the one on trial. */
    public boolean isOnTrial(CallDescription call) {
        return current != null
                && current.call().equals(call.id())
                && current.attempt() == call.attempt();
    }

    /**
     * Records that an attempt has ended; has no effect unless it is on trial.
     *
     * @param broken whether its connection broke, so that the target may have crashed
     * @param nowNanos the current time in nanoseconds
     */
    public void end(CallDescription call, boolean broken, long nowNanos) {
        if (isOnTrial(call)) {
            current = broken ? current.brokenAt(nowNanos) : null;
        }
    }

    /**
     * Ends the trial at a crash of the target.
     *
     * @param inFlight the fingerprints of the requests that were in flight at the crash, not null
     * @param nowNanos the current time in nanoseconds
     * @return the request on trial if it is one of them
     */
    public Optional<TrialCrash> onCrash(Set<Long> inFlight, long nowNanos) {
        Optional<TrialCrash> tried =
                Optional.ofNullable(current)
                        .filter(trial -> inFlight.contains(trial.fingerprint()))
                        .map(trial -> trial.toCrash(nowNanos));
        current = null;
        return tried;
    }

    private boolean isRunning(long nowNanos) {
        return current != null
                && current.brokenNanos().filter(at -> nowNanos - at > VERDICT_NANOS).isEmpty();
    }

    private record Trial(
            CallId call,
            int attempt,
            long fingerprint,
            long startNanos,
            Optional<Long> brokenNanos) {

        Trial brokenAt(long nowNanos) {
            return new Trial(call, attempt, fingerprint, startNanos, Optional.of(nowNanos));
        }

        TrialCrash toCrash(long nowNanos) {
            long ranNanos = brokenNanos.orElse(nowNanos) - startNanos;
            return new TrialCrash(fingerprint, ranNanos > BEGIN_NANOS);
        }
    }
}
