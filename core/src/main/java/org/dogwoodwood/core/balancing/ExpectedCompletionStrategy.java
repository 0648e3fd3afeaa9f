package org.dogwoodwood.core.balancing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
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

    /** If there are more candidates, a random sample of this size is compared. */
    private static final int MAX_COMPARED = 16;

    /**
     * Size of the sample in another data centre. Reports from there are older, and a large sample
     * would lead all senders to the same target.
     */
    private static final int REMOTE_COMPARED = 4;

    private static final int MAX_COMPARED_DATA_CENTRES = 3;

    /**
     * A call stays in the local data centre if it is expected to be answered within this share of
     * the time to its objective; the rest is the error of the estimate.
     */
    private static final double STAY_SHARE = 0.75;

    /**
     * The gain for which a call is sent to another data centre, as a share of the usual service
     * time and at least. Smaller gains are within the error of the estimates, and two data centres
     * that are both full would exchange calls.
     */
    private static final double CROSSING_SHARE = 0.25;

    private static final double MIN_CROSSING_NANOS = 5e6;

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
    private final Map<String, CrossingWindow> windows = new HashMap<>();

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
        CandidateGroup all = CandidateGroups.ofOneGroup(candidates).local();
        return nodeOf(best(all, MAX_COMPARED, excluded, nowNanos, random));
    }

    @Override
    public Optional<NodeId> choose(
            CandidateGroups groups,
            Set<NodeId> excluded,
            TimeLeft timeLeft,
            long nowNanos,
            RandomGenerator random) {
        Choice local = best(groups.local(), MAX_COMPARED, excluded, nowNanos, random);
        List<CandidateGroup> others = groups.others();
        if (others.isEmpty()
                || local.costNanos() <= STAY_SHARE * timeLeft.usefulNanos()
                || local.costNanos() <= minUsefulCostNanos()) {
            return nodeOf(local);
        }
        Choice best = local;
        boolean mayStay = local.candidate() != null;
        double bestCost = local.costNanos() - crossingNanos();
        int start = random.nextInt(others.size());
        int compared = Math.min(MAX_COMPARED_DATA_CENTRES, others.size());
        for (int i = 0; i < (mayStay ? compared : others.size()); i++) {
            CandidateGroup group = others.get((start + i) % others.size());
            CrossingWindow window = windowOf(group);
            if (mayStay && !window.isOpen()) {
                continue;
            }
            Choice other = best(group, REMOTE_COMPARED, excluded, nowNanos, random);
            if (other.costNanos() < bestCost) {
                bestCost = other.costNanos();
                best = other;
                table.of(other.candidate().node()).setCrossing(window);
            }
        }
        return nodeOf(best);
    }

    @Override
    public void onSent(NodeId node, long nowNanos) {
        table.of(node).onSent();
    }

    @Override
    public void onEnded(NodeId node, AttemptResult result, long latencyNanos, long nowNanos) {
        table.of(node).onEnded(result, nowNanos);
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

    /** Returns the candidate with the lowest cost in a random sample of a group. */
    private Choice best(
            CandidateGroup group,
            int maxCompared,
            Set<NodeId> excluded,
            long nowNanos,
            RandomGenerator random) {
        Candidate best = null;
        double bestCost = Double.POSITIVE_INFINITY;
        int compared = 0;
        for (int i = 0; i < group.size() && (compared < maxCompared || best == null); i++) {
            Candidate candidate = group.draw(i, random);
            if (!excluded.contains(candidate.node())) {
                compared++;
                double cost = costNanos(candidate, nowNanos);
                if (cost < bestCost) {
                    bestCost = cost;
                    best = candidate;
                }
            }
        }
        return new Choice(best, bestCost);
    }

    private CrossingWindow windowOf(CandidateGroup group) {
        return windows.computeIfAbsent(group.dataCentre(), ignored -> new CrossingWindow());
    }

    private static Optional<NodeId> nodeOf(Choice choice) {
        return Optional.ofNullable(choice.candidate()).map(Candidate::node);
    }

    private double crossingNanos() {
        return Math.max(MIN_CROSSING_NANOS, CROSSING_SHARE * table.overallServiceNanos());
    }

    /** Returns the cost at a target with free slots; no other data centre offers less. */
    private double minUsefulCostNanos() {
        return table.overallServiceNanos() + crossingNanos();
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

    /** A candidate, null if there is none, and its cost. */
    private record Choice(Candidate candidate, double costNanos) {}
}
