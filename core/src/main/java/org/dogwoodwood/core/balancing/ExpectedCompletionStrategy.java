package org.dogwoodwood.core.balancing;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.dogwoodwood.core.model.LoadReport;
import org.dogwoodwood.core.model.NodeId;

/**
 * Chooses the target with the shortest expected completion time: the sum of round trip, wait for a
 * slot and service time, estimated from the newest load report, its age and the calls sent since.
 */
public final class ExpectedCompletionStrategy implements BalancingStrategy {

    /**
     * If there are more candidates, only this many consecutive ones from a random start are
     * compared.
     */
    private static final int MAX_COMPARED = 16;

    /** Minimum service time assumed for a target that has not reported yet. */
    private static final double DEFAULT_SERVICE_NANOS = 10e6;

    /** Cost added for a suspect target, so that it is chosen only if there is no other. */
    private static final double SUSPECT_PENALTY_NANOS = 60e9;

    /** Cost added for a target that fails every call; it must exceed any acceptable wait. */
    private static final double FAILURE_PENALTY_NANOS = 1e9;

    /** A lower failure ratio is attributed to faulty requests. */
    private static final double TOLERATED_FAILURE_RATIO = 0.1;

    /**
     * Uncertainty of the expected load, as a share of the limit plus a number of calls: calls are
     * expected to wait sometimes even at a target that is not quite full.
     */
    private static final double LOAD_UNCERTAINTY_SHARE = 0.1;

    private static final double LOAD_UNCERTAINTY_CALLS = 0.5;

    /** Above this exponent {@code x}, {@code log1p(exp(x))} equals {@code x} within rounding. */
    private static final double LARGE_EXPONENT = 30;

    /** Smaller slowdowns are within the error of the guards' estimates. */
    private static final double SLOW_RATIO = 1.5;

    private final LoadTable table;

    private ExpectedCompletionStrategy(LoadTable table) {
        this.table = Objects.requireNonNull(table, "table");
    }

    /** Returns a strategy without any load information. */
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
        return load.hasReport() ? (long) waitNanos(load, nowNanos) : 0;
    }

    @Override
    public long serviceNanos() {
        return (long) table.overallServiceNanos();
    }

    @Override
    public boolean isSlow(NodeId node, long nowNanos) {
        return table.of(node).slowdown(nowNanos) >= SLOW_RATIO;
    }

    @Override
    public boolean reportsSlowdown(NodeId node) {
        return table.of(node).reportsSlowdown();
    }

    /**
     * Returns the expected time to the answer plus penalties, in nanoseconds, or infinity if the
     * target accepts no new calls.
     */
    private double costNanos(Candidate candidate, long nowNanos) {
        TargetLoad load = table.of(candidate.node());
        double cost =
                candidate.roundTripNanos() + (candidate.suspect() ? SUSPECT_PENALTY_NANOS : 0);
        if (!load.acceptsWork(candidate.incarnation())) {
            return Double.POSITIVE_INFINITY;
        }
        if (!load.hasReport()) {
            double service =
                    Math.max(
                            DEFAULT_SERVICE_NANOS,
                            table.reportsSlowdown() ? table.overallServiceNanos() : 0);
            return cost + service * (1 + load.ownInFlight());
        }
        double service = load.serviceNanos(nowNanos, table.overallServiceNanos());
        double wait = waitNanos(load, nowNanos);
        double failures = Math.max(0, load.failureRatio(nowNanos) - TOLERATED_FAILURE_RATIO);
        return cost + wait + service + failures * FAILURE_PENALTY_NANOS;
    }

    private double waitNanos(TargetLoad load, long nowNanos) {
        int limit = load.limit();
        double overallNanos = table.overallServiceNanos();
        double excess = expectedExcess(load.expectedLoad(nowNanos, overallNanos) + 1, limit);
        return excess * load.serviceNanos(nowNanos, overallNanos) / limit;
    }

    /** Returns the expected number of calls above the limit, given the uncertainty of the load. */
    private static double expectedExcess(double load, int limit) {
        double uncertainty = LOAD_UNCERTAINTY_SHARE * limit + LOAD_UNCERTAINTY_CALLS;
        double exponent = (load - limit) / uncertainty;
        if (exponent > LARGE_EXPONENT) {
            return load - limit;
        }
        return uncertainty * Math.log1p(Math.exp(exponent));
    }
}
