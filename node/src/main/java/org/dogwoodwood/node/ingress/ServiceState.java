package org.dogwoodwood.node.ingress;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.dogwoodwood.core.balancing.AttemptResult;
import org.dogwoodwood.core.balancing.BalancingStrategy;
import org.dogwoodwood.core.balancing.CallNeeds;
import org.dogwoodwood.core.balancing.Candidate;
import org.dogwoodwood.core.balancing.CandidateGroups;
import org.dogwoodwood.core.balancing.CapacityTable;
import org.dogwoodwood.core.balancing.ExpectedCompletionStrategy;
import org.dogwoodwood.core.configuration.PolicyDefinition;
import org.dogwoodwood.core.health.CrashTrials;
import org.dogwoodwood.core.health.OutlierEjection;
import org.dogwoodwood.core.model.FreeCapacity;
import org.dogwoodwood.core.model.LoadReport;
import org.dogwoodwood.core.model.NodeId;
import org.dogwoodwood.core.retry.DefaultRetryStrategy;
import org.dogwoodwood.core.retry.HedgeBudget;
import org.dogwoodwood.core.retry.HedgeDecision;
import org.dogwoodwood.core.retry.HedgeStrategy;
import org.dogwoodwood.core.retry.HedgeView;
import org.dogwoodwood.core.retry.QuantileHedgeStrategy;
import org.dogwoodwood.core.retry.RetryBudget;
import org.dogwoodwood.core.retry.RetryStrategy;
import org.dogwoodwood.core.retry.ReturnSchedule;
import org.dogwoodwood.core.routing.RouteTarget;
import org.dogwoodwood.core.routing.RoutingTable;
import org.dogwoodwood.node.metrics.NodeMetrics;
import org.dogwoodwood.node.peer.AttemptSender;

/**
 * The balancing, ejection, retry and hedge state of the ingress for one service under one policy.
 */
final class ServiceState {

    // Building the candidates of a service with many targets for each call would cost more than
    // choosing among them.
    private static final long MAX_CANDIDATES_AGE_NANOS = 20_000_000L;

    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long NANOS_PER_MICRO = 1_000L;

    // Gossip carries the free capacity to another data centre about once a second.
    private static final long CAPACITY_INTERVAL_NANOS = 250_000_000L;

    // The interval between requests for a load report to a guard whose target accepts no work.
    private static final long REPORT_REQUEST_INTERVAL_NANOS = 200_000_000L;

    private final String service;
    private final String dataCentre;
    private PolicyDefinition policy;
    private final AttemptSender sender;
    private final RandomGenerator random;
    private final CapacityTable capacities;
    private final NodeMetrics metrics;
    private final BalancingStrategy strategy;
    private final OutlierEjection ejection;
    private final RetryBudget budget;
    private final RetryStrategy retries;
    private final HedgeBudget hedgeBudget;
    private final HedgeStrategy hedges;
    private final ReturnSchedule returns = ReturnSchedule.create();
    private final Map<NodeId, LoadReport> unavailableReports = new HashMap<>();
    private final Map<NodeId, RouteTarget> targetByNode = new HashMap<>();
    private RoutingTable table = RoutingTable.empty();
    private List<RouteTarget> targets = List.of();
    private CandidateGroups candidates = CandidateGroups.of(List.of(), "");
    private long candidatesBuiltNanos;
    private long reportsRequestedNanos;
    private long capacityReportedNanos;

    ServiceState(
            String service,
            String dataCentre,
            PolicyDefinition policy,
            AttemptSender sender,
            CapacityTable capacities,
            NodeMetrics metrics,
            RandomGenerator random) {
        this.service = service;
        this.dataCentre = dataCentre;
        this.policy = policy;
        this.sender = sender;
        this.capacities = capacities;
        this.metrics = metrics;
        this.strategy =
                ExpectedCompletionStrategy.create(
                        (name, nowNanos) -> capacities.find(service, name, nowNanos));
        this.random = random;
        this.ejection = OutlierEjection.create(policy.ejectionShare());
        this.budget = RetryBudget.of(policy.retryShare());
        this.retries = DefaultRetryStrategy.create(budget);
        this.hedgeBudget = HedgeBudget.of(policy.hedgeShare(), budget);
        this.hedges = QuantileHedgeStrategy.create(policy.hedgeQuantile(), hedgeBudget);
    }

    String service() {
        return service;
    }

    /**
     * Applies a new version of the policy if nothing but its share of hedges has changed, so that
     * the known load is kept.
     *
     * @return whether this state is now one of the given policy
     */
    boolean tryUpdate(PolicyDefinition newPolicy) {
        if (newPolicy.equals(policy)) {
            return true;
        }
        if (!newPolicy.equals(policy.withHedgeShare(newPolicy.hedgeShare()))) {
            return false;
        }
        policy = newPolicy;
        hedgeBudget.setShare(newPolicy.hedgeShare());
        return true;
    }

    RetryStrategy retries() {
        return retries;
    }

    HedgeStrategy hedges() {
        return hedges;
    }

    /**
     * Updates the targets and candidates from the current routing table; called before a choice.
     */
    void refresh(RoutingTable current, long nowNanos) {
        if (isSameInstance(current, table)
                && nowNanos - candidatesBuiltNanos < MAX_CANDIDATES_AGE_NANOS) {
            return;
        }
        if (!isSameInstance(current, table)) {
            budget.setNodes(current.nodes());
            hedgeBudget.setNodes(current.nodes());
            strategy.setSenders(current.nodes());
            updateTargets(current);
        }
        table = current;
        candidatesBuiltNanos = nowNanos;
        targets = current.targetsOf(service).stream().filter(RouteTarget::acceptsWork).toList();
        List<RouteTarget> healthy =
                targets.stream()
                        .filter(target -> !ejection.isEjected(target.node(), nowNanos))
                        .toList();
        List<Candidate> next = new ArrayList<>();
        for (RouteTarget target : healthy.isEmpty() ? targets : healthy) {
            next.add(
                    new Candidate(
                            target.node(),
                            target.incarnation(),
                            target.stateVersion(),
                            target.dataCentre(),
                            sender.roundTripNanos(target) + dataCentreCostNanos(target),
                            target.suspect()));
        }
        candidates = CandidateGroups.of(next, dataCentre);
        requestReportsFromUnavailableTargets(nowNanos);
        reportFreeCapacity(nowNanos);
    }

    /** Forgets the failures of the targets that were gone and accept work again. */
    private void updateTargets(RoutingTable current) {
        Map<NodeId, RouteTarget> before = Map.copyOf(targetByNode);
        targetByNode.clear();
        for (RouteTarget target : current.targetsOf(service)) {
            RouteTarget earlier = before.get(target.node());
            if (target.acceptsWork()) {
                targetByNode.put(target.node(), target);
                if (earlier == null || earlier.incarnation() != target.incarnation()) {
                    ejection.remove(target.node());
                    strategy.onReturned(target.node());
                }
            }
        }
    }

    private void reportFreeCapacity(long nowNanos) {
        if (nowNanos - capacityReportedNanos < CAPACITY_INTERVAL_NANOS) {
            return;
        }
        capacityReportedNanos = nowNanos;
        OptionalInt free = strategy.freeSlots(candidates, nowNanos);
        if (free.isPresent()) {
            long serviceMicros = strategy.serviceNanos() / NANOS_PER_MICRO;
            capacities.add(
                    new FreeCapacity(dataCentre, service, free.getAsInt(), serviceMicros, 0),
                    nowNanos);
        }
        for (String name : candidates.dataCentres()) {
            Optional<FreeCapacity> known = capacities.find(service, name, nowNanos);
            metrics.onFreeSlots(service, name, known.map(FreeCapacity::freeSlots).orElse(-1));
        }
    }

    private long dataCentreCostNanos(RouteTarget target) {
        return target.dataCentre().equals(dataCentre)
                ? 0
                : policy.dataCentreCostMillis() * NANOS_PER_MILLI;
    }

    /** Returns the targets that accept work. */
    List<RouteTarget> targets() {
        return targets;
    }

    int candidateCount() {
        return candidates.size();
    }

    /**
     * Returns whether the service has targets, but only in data centres that have been taken out.
     */
    boolean isInRemovedDataCentresOnly() {
        List<RouteTarget> all = table.targetsOf(service);
        return !all.isEmpty() && all.stream().allMatch(RouteTarget::dataCentreOut);
    }

    Optional<RouteTarget> choose(Set<NodeId> excluded, CallNeeds callNeeds, long nowNanos) {
        return strategy.choose(candidates, excluded, callNeeds, nowNanos, random)
                .flatMap(this::findTarget);
    }

    /** Returns whether a request may run on trial only, since it may crash targets. */
    boolean isBlocked(long fingerprint) {
        return table.blocked(service, fingerprint).isPresent();
    }

    /** Returns the target at which a blocked request may be tried now, or empty if none is due. */
    Optional<RouteTarget> trialTarget(long fingerprint, long nowNanos) {
        return table.blocked(service, fingerprint)
                .filter(found -> found.isTrialDue(table.crashPolicy(service), nowNanos))
                .flatMap(found -> CrashTrials.targetOf(fingerprint, table.acceptingNodes(service)))
                .flatMap(this::findTarget);
    }

    Optional<RouteTarget> findTarget(NodeId node) {
        return Optional.ofNullable(targetByNode.get(node));
    }

    long expectedWaitNanos(NodeId node, long nowNanos) {
        return strategy.expectedWaitNanos(node, nowNanos);
    }

    long serviceNanos() {
        return strategy.serviceNanos();
    }

    double slowdown(NodeId node, long nowNanos) {
        return strategy.slowdown(node, nowNanos);
    }

    /**
     * Decides whether a call gets a second attempt at another target.
     *
     * @param other the second target
     * @param needs the time that the call has left
     * @param elapsedNanos the time since the first attempt was sent, in nanoseconds
     * @param firstSlowdown the highest known slowdown of the first target since then
     * @param firstWaitNanos the wait that was expected there, in nanoseconds
     */
    HedgeDecision decideHedge(
            NodeId other,
            CallNeeds needs,
            long elapsedNanos,
            double firstSlowdown,
            long firstWaitNanos,
            long nowNanos) {
        boolean hasObjective = needs.objectiveNanos() > 0;
        return HedgeDecision.of(
                new HedgeView(
                        elapsedNanos,
                        hasObjective ? needs.objectiveNanos() : needs.deadlineNanos(),
                        hasObjective,
                        strategy.serviceNanos(),
                        firstSlowdown,
                        firstWaitNanos,
                        strategy.slowdown(other, nowNanos),
                        strategy.expectedWaitNanos(other, nowNanos)));
    }

    /**
     * Returns the time after which a refused caller should return, in nanoseconds: when the queue
     * of a sampled target has drained, at this node's part of the pace of all targets.
     */
    long retryAfterNanos(CallNeeds needs, long nowNanos) {
        Optional<NodeId> node = strategy.choose(candidates, Set.of(), needs, nowNanos, random);
        long drainNanos = node.map(best -> expectedWaitNanos(best, nowNanos)).orElse(0L);
        long slots = (long) candidates.size() * node.map(strategy::limit).orElse(1);
        long spacingNanos = strategy.serviceNanos() * table.nodes() / Math.max(1, slots);
        return returns.nextDelayNanos(
                drainNanos, spacingNanos, needs.deadlineNanos(), nowNanos, random);
    }

    /**
     * Returns whether the target reports its speed, so that a slow phase is detected immediately.
     */
    boolean reportsSpeed(NodeId node) {
        return strategy.reportsSlowdown(node);
    }

    void onSent(NodeId node, long nowNanos) {
        RouteTarget target = targetByNode.get(node);
        metrics.onPlaced(service, target != null && target.dataCentre().equals(dataCentre));
        strategy.onSent(node, nowNanos);
    }

    void onEnded(NodeId node, AttemptResult result, long latencyNanos, long nowNanos) {
        strategy.onEnded(node, result, latencyNanos, nowNanos);
        if (result != AttemptResult.CANCELLED && result != AttemptResult.REFUSED) {
            ejection.onEnded(node, result.countsAgainstTarget(), targets.size(), nowNanos);
        }
    }

    /** Records that a call was sent to a target for the first time. */
    void onFirstSent() {
        hedgeBudget.onCall();
    }

    void onSuccess(long latencyNanos) {
        budget.onSuccess();
        hedges.onAnswered(latencyNanos);
    }

    void onReport(LoadReport report, long nowNanos) {
        strategy.onReport(report, nowNanos);
        LoadReport latest = unavailableReports.get(report.guard());
        if (latest != null && !report.isNewerThan(latest)) {
            return;
        }
        if (report.state().acceptsWork()) {
            unavailableReports.remove(report.guard());
        } else {
            unavailableReports.put(report.guard(), report);
        }
    }

    /**
     * Requests a load report from each guard whose latest report says that its target accepts no
     * work, though the table has a target that does. The table will tell when the target accepts
     * work again; the request finds out sooner, since no call is sent whose answer would tell it.
     */
    private void requestReportsFromUnavailableTargets(long nowNanos) {
        if (unavailableReports.isEmpty()
                || nowNanos - reportsRequestedNanos < REPORT_REQUEST_INTERVAL_NANOS) {
            return;
        }
        reportsRequestedNanos = nowNanos;
        unavailableReports.values().removeIf(report -> !isContradicting(report));
        for (NodeId node : List.copyOf(unavailableReports.keySet())) {
            sender.requestReport(findTarget(node).orElseThrow());
        }
    }

    /** Returns whether the report is newer than the table, which has a target that accepts work. */
    private boolean isContradicting(LoadReport report) {
        return findTarget(report.guard())
                .filter(
                        target ->
                                !report.isStateOlderThan(
                                        target.incarnation(), target.stateVersion()))
                .isPresent();
    }

    // A routing table is replaced as a whole, so comparing contents would only cost time.
    private static boolean isSameInstance(Object one, Object other) {
        return one == other;
    }
}
