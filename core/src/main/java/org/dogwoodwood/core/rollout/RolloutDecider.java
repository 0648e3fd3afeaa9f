package org.dogwoodwood.core.rollout;

import java.util.Locale;
import java.util.Map;
import org.dogwoodwood.core.model.NodeId;

/**
 * Decides the exposure and the end of one roll-out. Only one node runs a decider with stored
 * progress at a time; the store's condition on appends sees to that. Not thread-safe.
 */
public final class RolloutDecider {

    /** The time for which a node may use a granted share. */
    public static final long LEASE_NANOS = 2_000_000_000L;

    private static final double NANOS_PER_SECOND = 1e9;

    // Half of the bound of 0.1 of the calls plus 50. The other half covers attempts that are not
    // reported yet, and the calls between a success and the deadline.
    private static final double EXPOSURE_SHARE = 0.05;
    private static final double EXPOSURE_BASE = 25;

    // The old targets end at the success, so a version that becomes bad just after it exposes the
    // remaining part of the duration.
    private static final double SETTLE_SHARE = 0.05;
    private static final long MIN_SETTLE_NANOS = 2_000_000_000L;
    private static final double MAX_SETTLE_SHARE = 0.25;

    // A record is written per reservation.
    private static final double MIN_RESERVATION = 20;
    private static final double RESERVED_SECONDS = 5;

    private static final double RATE_WEIGHT = 0.3;
    private static final double REPORT_SECONDS = 0.5;
    private static final long MAX_SILENCE_NANOS = 2_000_000_000L;

    private final RolloutOrder order;
    private final long deadlineNanos;
    private final long firstGrantNanos;
    private final EvidenceCollector evidence;
    private final VersionJudge judge = new VersionJudge();
    private final ExposurePlan plan;
    private RolloutProgress stored;
    private RolloutState state;
    private String reason = "started";
    private double callsPerSecond;
    private double share;
    private long lastCalls;
    private long lastDecisionNanos;
    private long lastReportNanos;

    private RolloutDecider(
            RolloutProgress stored, long deadlineNanos, long firstGrantNanos, long nowNanos) {
        this.order = stored.order();
        this.stored = stored;
        this.state = stored.state();
        this.deadlineNanos = deadlineNanos;
        this.firstGrantNanos = firstGrantNanos;
        this.evidence =
                new EvidenceCollector(order.id(), stored.calls(), stored.reservedAttempts());
        this.plan = new ExposurePlan(order.durationNanos(), stored.step(), nowNanos);
        this.lastCalls = stored.calls();
        this.lastDecisionNanos = nowNanos;
        this.lastReportNanos = nowNanos;
    }

    /** Returns the decider of an order that has no progress yet. */
    public static RolloutDecider start(RolloutOrder order, long nowNanos) {
        return new RolloutDecider(
                RolloutProgress.initial(order),
                nowNanos + order.durationNanos(),
                nowNanos,
                nowNanos);
    }

    /**
     * Returns a decider that continues from stored progress. It grants nothing before the grants of
     * its predecessor have expired.
     *
     * @param stored the newest stored progress, not null
     * @param deadlineNanos the deadline of the order on this process's clock
     * @param nowNanos the current time in nanoseconds
     */
    public static RolloutDecider resume(RolloutProgress stored, long deadlineNanos, long nowNanos) {
        return new RolloutDecider(stored, deadlineNanos, nowNanos + LEASE_NANOS, nowNanos);
    }

    /** Returns the order. */
    public RolloutOrder order() {
        return order;
    }

    /** Returns the end of the order's duration on this process's clock. */
    public long deadlineNanos() {
        return deadlineNanos;
    }

    /** Adds the report of a node. */
    public void onReport(EvidenceReport report, long nowNanos) {
        lastReportNanos = nowNanos;
        evidence.onReport(report);
    }

    /** Notes that the store has acknowledged progress. */
    public void onStored(RolloutProgress progress) {
        if (progress.order().equals(order) && !stored.state().isFinal()) {
            stored = progress;
        }
    }

    /** Rolls back since the operator has withdrawn the order. */
    public void withdraw() {
        end(RolloutState.ROLLED_BACK, "the order was withdrawn");
    }

    /** Returns whether a later order is a repetition that this roll-out already serves. */
    public boolean serves(RolloutOrder other) {
        return order.requestsSameAs(other)
                && (state != RolloutState.ROLLED_BACK || other.id() <= order.id());
    }

    /** Judges the evidence so far; called every 500 ms. */
    public RolloutDecision decide(long nowNanos) {
        Map<String, RouteEvidence> window = evidence.takeUnread();
        if (!state.isFinal()) {
            judge.add(window);
            updateRate(nowNanos);
            judgeState(nowNanos);
        }
        if (state == RolloutState.RUNNING) {
            plan.advance(judge.answers(), nowNanos);
        }
        RolloutProgress wanted = wantedProgress();
        share = currentShare(nowNanos);
        return new RolloutDecision(share, wanted, reason);
    }

    /** Returns the share that a node may be granted now, after {@link #decide}. */
    public double shareFor(NodeId node) {
        return evidence.hasReportOf(node) || share == 1 ? share : 0;
    }

    private void judgeState(long nowNanos) {
        double settle =
                Math.min(
                        MAX_SETTLE_SHARE * order.durationNanos(),
                        Math.max(MIN_SETTLE_NANOS, SETTLE_SHARE * order.durationNanos()));
        if (judge.reason().isPresent()) {
            end(RolloutState.ROLLED_BACK, judge.reason().get());
        } else if (nowNanos >= deadlineNanos - (long) settle) {
            RolloutState result =
                    judge.hasEnoughEvidence() && nowNanos < deadlineNanos
                            ? RolloutState.SUCCEEDED
                            : RolloutState.ROLLED_BACK;
            end(
                    result,
                    String.format(
                            Locale.ROOT,
                            "%d answers of the new version, %d calls",
                            judge.answers(),
                            evidence.calls()));
        }
    }

    private void end(RolloutState result, String cause) {
        if (!state.isFinal()) {
            state = result;
            reason = cause;
        }
    }

    private void updateRate(long nowNanos) {
        double seconds = (nowNanos - lastDecisionNanos) / NANOS_PER_SECOND;
        if (seconds > 0) {
            double rate = (evidence.calls() - lastCalls) / seconds;
            // A burst counts at once, so that it can't multiply the exposure.
            callsPerSecond = Math.max(rate, callsPerSecond + RATE_WEIGHT * (rate - callsPerSecond));
            lastCalls = evidence.calls();
            lastDecisionNanos = nowNanos;
        }
    }

    private RolloutProgress wantedProgress() {
        if (state.isFinal()) {
            return stored.withState(state);
        }
        long reserved = nextReservation();
        boolean same = reserved == stored.reservedAttempts() && plan.step() == stored.step();
        return same && stored.state() == state && stored.calls() > 0
                ? stored
                : new RolloutProgress(order, state, plan.step(), reserved, evidence.calls());
    }

    /**
     * Returns the reservation to store: enough for the next seconds at the present share, or for
     * the next pulse once the bound allows the whole pulse. Each change costs a record.
     */
    private long nextReservation() {
        double bound = EXPOSURE_SHARE * evidence.calls() + EXPOSURE_BASE;
        double pulse = plan.pulseAttempts(callsPerSecond);
        double chunk = Math.max(MIN_RESERVATION, RESERVED_SECONDS * share * callsPerSecond);
        double left = (double) stored.reservedAttempts() - evidence.attempts();
        if (left < pulse && bound - evidence.attempts() >= pulse + MIN_RESERVATION) {
            chunk = pulse + MIN_RESERVATION;
        } else if (left >= chunk / 2) {
            return stored.reservedAttempts();
        }
        long enough = (long) Math.min(bound, evidence.attempts() + chunk);
        // Avoids a record for each single attempt that the bound has come to allow.
        return enough - stored.reservedAttempts() >= MIN_RESERVATION / 4
                ? enough
                : stored.reservedAttempts();
    }

    private double currentShare(long nowNanos) {
        if (state == RolloutState.SUCCEEDED) {
            // The old targets end when the success is stored, and nothing may change before.
            return stored.state() == RolloutState.SUCCEEDED ? 1 : share;
        }
        if (state.isFinal()
                || nowNanos < firstGrantNanos
                || nowNanos - lastReportNanos > MAX_SILENCE_NANOS) {
            return 0;
        }
        double allowed =
                Math.min(
                        EXPOSURE_SHARE * evidence.calls() + EXPOSURE_BASE,
                        (double) stored.reservedAttempts());
        double unreported = share * callsPerSecond * REPORT_SECONDS;
        double left = allowed - evidence.attempts() - unreported;
        return plan.share(callsPerSecond, left, nowNanos);
    }
}
