package org.dogwoodwood.core.balancing;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
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

    /** Time to send one byte at 10 Mbit/s, which the slowest VMs have. */
    private static final double TRANSFER_NANOS_PER_BYTE = 800;

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

    private static final double UNKNOWN = Double.NaN;

    private final LoadTable table;
    private final Crossings crossings;

    private ExpectedCompletionStrategy(LoadTable table, CapacitySource capacities) {
        this.table = Objects.requireNonNull(table, "table");
        this.crossings = new Crossings(capacities);
    }

    /** Returns a strategy without any load information. */
    public static ExpectedCompletionStrategy create() {
        return create((dataCentre, nowNanos) -> Optional.empty());
    }

    /**
     * Returns a strategy without any load information.
     *
     * @param capacities the reports of other data centres on the service, not null
     */
    public static ExpectedCompletionStrategy create(CapacitySource capacities) {
        return new ExpectedCompletionStrategy(LoadTable.create(), capacities);
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
            CallNeeds callNeeds,
            long nowNanos,
            RandomGenerator random) {
        Choice local = best(groups.local(), MAX_COMPARED, excluded, nowNanos, random);
        List<CandidateGroup> others = groups.others();
        if (others.isEmpty()
                || local.costNanos() <= STAY_SHARE * callNeeds.usefulNanos()
                || local.costNanos() <= minUsefulCostNanos()) {
            return nodeOf(local);
        }
        if (local.candidate() == null) {
            return nodeOf(bestOfAll(others, excluded, nowNanos, random));
        }
        Optional<CandidateGroup> group = crossings.choose(others, nowNanos, random);
        if (group.isEmpty()) {
            return nodeOf(local);
        }
        Choice other = best(group.get(), REMOTE_COMPARED, excluded, nowNanos, random);
        return nodeOf(gains(local, other, callNeeds) ? crossing(group.get(), other) : local);
    }

    @Override
    public void setSenders(int count) {
        crossings.setSenders(count);
    }

    @Override
    public OptionalInt freeSlots(CandidateGroups groups, long nowNanos) {
        CandidateGroup local = groups.local();
        double overallNanos = table.overallServiceNanos();
        double free = 0;
        int known = 0;
        for (int i = 0; i < local.size(); i++) {
            TargetLoad load = table.of(local.get(i).node());
            if (load.hasRecentReport(nowNanos)) {
                known++;
                double speed = overallNanos / load.serviceNanos(nowNanos, overallNanos);
                double slots = load.limit() - load.expectedLoad(nowNanos, overallNanos, UNKNOWN);
                free +=
                        load.acceptsWork(local.get(i))
                                ? Math.max(0, slots) * Math.min(1, speed)
                                : 0;
            }
        }
        return known == 0
                ? OptionalInt.empty()
                : OptionalInt.of((int) Math.round(free * local.size() / known));
    }

    /**
     * Returns whether a call gains enough from another data centre: it is answered in time there,
     * or it would be refused here.
     */
    private boolean gains(Choice local, Choice other, CallNeeds callNeeds) {
        double transferNanos = callNeeds.requestBytes() * TRANSFER_NANOS_PER_BYTE;
        double otherNanos = other.costNanos() + transferNanos;
        boolean useful =
                otherNanos <= callNeeds.usefulNanos()
                        || local.costNanos() > callNeeds.deadlineNanos();
        return useful && otherNanos + crossingNanos() < local.costNanos();
    }

    private Choice bestOfAll(
            List<CandidateGroup> groups,
            Set<NodeId> excluded,
            long nowNanos,
            RandomGenerator random) {
        Choice best = new Choice(null, Double.POSITIVE_INFINITY);
        for (CandidateGroup group : groups) {
            Choice choice = best(group, REMOTE_COMPARED, excluded, nowNanos, random);
            if (choice.costNanos() < best.costNanos()) {
                best = crossing(group, choice);
            }
        }
        return best;
    }

    private Choice crossing(CandidateGroup group, Choice choice) {
        table.of(choice.candidate().node()).setCrossing(crossings.windowOf(group));
        return choice;
    }

    @Override
    public void onReturned(NodeId node) {
        table.of(node).forgetFailures();
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
        return load.hasReport() ? (long) waitNanos(load, nowNanos, UNKNOWN) : 0;
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
    public double slowdown(NodeId node, long nowNanos) {
        return table.of(node).slowdown(nowNanos);
    }

    @Override
    public int limit(NodeId node) {
        TargetLoad load = table.of(node);
        return load.hasReport() ? load.limit() : 1;
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
        double knownFreeSlots = UNKNOWN;
        if (maxCompared == REMOTE_COMPARED) {
            knownFreeSlots = crossings.freeSlotsOfEach(group, nowNanos);
        }
        Candidate best = null;
        double bestCost = Double.POSITIVE_INFINITY;
        int compared = 0;
        for (int i = 0; i < group.size() && (compared < maxCompared || best == null); i++) {
            Candidate candidate = group.draw(i, random);
            if (!excluded.contains(candidate.node())) {
                compared++;
                double cost = costNanos(candidate, nowNanos, knownFreeSlots);
                if (cost < bestCost) {
                    bestCost = cost;
                    best = candidate;
                }
            }
        }
        return new Choice(best, bestCost);
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
    private double costNanos(Candidate candidate, long nowNanos, double knownFreeSlots) {
        TargetLoad load = table.of(candidate.node());
        double cost =
                candidate.roundTripNanos() + (candidate.suspect() ? SUSPECT_PENALTY_NANOS : 0);
        if (!load.acceptsWork(candidate)) {
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
        double wait = waitNanos(load, nowNanos, knownFreeSlots);
        double failures = Math.max(0, load.failureRatio(nowNanos) - TOLERATED_FAILURE_RATIO);
        return cost + wait + service + failures * FAILURE_PENALTY_NANOS;
    }

    private double waitNanos(TargetLoad load, long nowNanos, double knownFreeSlots) {
        int limit = load.limit();
        double overallNanos = table.overallServiceNanos();
        double excess =
                expectedExcess(
                        load.expectedLoad(nowNanos, overallNanos, knownFreeSlots) + 1, limit);
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
