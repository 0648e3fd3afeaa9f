package org.dogwoodwood.core.balancing;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.dogwoodwood.core.model.LoadReport;
import org.dogwoodwood.core.model.NodeId;

/**
 * Chooses the target with the least expected completion time: round trip, wait for a slot, and
 * service time, from the newest report, its age and the calls sent since.
 */
public final class ExpectedCompletionStrategy implements BalancingStrategy {

    /** With more candidates than this, a random sample of this size is compared. */
    private static final int MAX_COMPARED = 16;

    /** The least that is assumed until a target has reported. */
    private static final double UNKNOWN_SERVICE_NANOS = 10e6;

    /** The cost of a suspect target, so that it is chosen only while no other exists. */
    private static final double SUSPECT_NANOS = 60e9;

    /** The cost of a target that fails every call; it must exceed any wait worth taking. */
    private static final double FAILURE_NANOS = 1e9;

    /** A lower share of failures is taken for faults of the requests. */
    private static final double TOLERATED_FAILURE_RATIO = 0.1;

    /**
     * The uncertainty of the expected load, as a share of the limit and in calls: a target is
     * already taken to make calls wait sometimes when it is not quite full.
     */
    private static final double UNCERTAIN_SHARE = 0.1;

    private static final double UNCERTAIN_CALLS = 0.5;

    /** From here on, the logarithm and its argument agree within rounding. */
    private static final double LARGE_EXPONENT = 30;

    /** Smaller slowdowns are within the error of the guards' estimates. */
    private static final double SLOW_RATIO = 1.5;

    private final LoadTable table;

    private ExpectedCompletionStrategy(LoadTable table) {
        this.table = Objects.requireNonNull(table, "table");
    }

    /** Returns a strategy that knows no load yet. */
    public static ExpectedCompletionStrategy create() {
        return new ExpectedCompletionStrategy(LoadTable.create());
    }

    @Override
    public Optional<NodeId> choose(
            List<Candidate> candidates,
            Set<NodeId> excluded,
            long nowNanos,
            RandomGenerator random) {
        int size = candidates.size();
        if (size == 0) {
            return Optional.empty();
        }
        boolean sampled = size > MAX_COMPARED;
        int start = random.nextInt(size);
        Candidate best = null;
        double bestCost = Double.POSITIVE_INFINITY;
        for (int i = 0; i < size; i++) {
            if (sampled && i >= MAX_COMPARED && best != null) {
                break;
            }
            Candidate candidate = candidates.get((start + i) % size);
            if (!excluded.contains(candidate.node())) {
                double cost = costNanos(candidate, nowNanos);
                if (cost < bestCost) {
                    bestCost = cost;
                    best = candidate;
                }
            }
        }
        return Optional.ofNullable(best).map(Candidate::node);
    }

    @Override
    public void onSent(NodeId node, long nowNanos) {
        table.of(node).onSent();
    }

    @Override
    public void onEnded(NodeId node, AttemptResult result, long latencyNanos, long nowNanos) {
        table.of(node).onEnded(result);
    }

    @Override
    public void onReport(LoadReport report, long nowNanos) {
        table.onReport(report, nowNanos);
    }

    @Override
    public long expectedWaitNanos(NodeId node, long nowNanos) {
        TargetLoad load = table.of(node);
        return load.isKnown() ? (long) waitNanos(load, nowNanos) : 0;
    }

    @Override
    public long serviceNanos() {
        return (long) table.ordinaryServiceNanos();
    }

    @Override
    public boolean isSlow(NodeId node, long nowNanos) {
        return table.of(node).slowdown(nowNanos) >= SLOW_RATIO;
    }

    @Override
    public boolean tellsSpeed(NodeId node) {
        return table.of(node).tellsSpeed();
    }

    /** Returns the expected time to the answer, or infinity if the target takes no work. */
    private double costNanos(Candidate candidate, long nowNanos) {
        TargetLoad load = table.of(candidate.node());
        double cost = candidate.roundTripNanos() + (candidate.suspect() ? SUSPECT_NANOS : 0);
        if (!load.acceptsWork(candidate.incarnation())) {
            return Double.POSITIVE_INFINITY;
        }
        if (!load.isKnown()) {
            double service =
                    Math.max(
                            UNKNOWN_SERVICE_NANOS,
                            table.isSpeedTold() ? table.ordinaryServiceNanos() : 0);
            return cost + service * (1 + load.ownInFlight());
        }
        double service = load.serviceNanos(nowNanos, table.ordinaryServiceNanos());
        double wait = waitNanos(load, nowNanos);
        double failures = Math.max(0, load.failureRatio(nowNanos) - TOLERATED_FAILURE_RATIO);
        return cost + wait + service + failures * FAILURE_NANOS;
    }

    private double waitNanos(TargetLoad load, long nowNanos) {
        int limit = load.limit();
        double ordinary = table.ordinaryServiceNanos();
        double excess = expectedExcess(load.expectedLoad(nowNanos, ordinary) + 1, limit);
        return excess * load.serviceNanos(nowNanos, ordinary) / limit;
    }

    /** Returns the expected number of calls above the limit when the load is uncertain. */
    private static double expectedExcess(double load, int limit) {
        double uncertainty = UNCERTAIN_SHARE * limit + UNCERTAIN_CALLS;
        double exponent = (load - limit) / uncertainty;
        if (exponent > LARGE_EXPONENT) {
            return load - limit;
        }
        return uncertainty * Math.log1p(Math.exp(exponent));
    }
}
