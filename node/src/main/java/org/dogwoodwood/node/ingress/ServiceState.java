package org.dogwoodwood.node.ingress;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.dogwoodwood.core.balancing.AttemptResult;
import org.dogwoodwood.core.balancing.BalancingStrategy;
import org.dogwoodwood.core.balancing.Candidate;
import org.dogwoodwood.core.balancing.CandidateGroups;
import org.dogwoodwood.core.balancing.ExpectedCompletionStrategy;
import org.dogwoodwood.core.balancing.TimeLeft;
import org.dogwoodwood.core.configuration.PolicyDefinition;
import org.dogwoodwood.core.health.OutlierEjection;
import org.dogwoodwood.core.model.LoadReport;
import org.dogwoodwood.core.model.NodeId;
import org.dogwoodwood.core.retry.DefaultRetryStrategy;
import org.dogwoodwood.core.retry.HedgeStrategy;
import org.dogwoodwood.core.retry.QuantileHedgeStrategy;
import org.dogwoodwood.core.retry.RetryBudget;
import org.dogwoodwood.core.retry.RetryStrategy;
import org.dogwoodwood.core.routing.RouteTarget;
import org.dogwoodwood.core.routing.RoutingTable;
import org.dogwoodwood.node.peer.AttemptSender;

/**
 * The balancing, ejection, retry and hedge state of the ingress for one service under one policy.
 */
final class ServiceState {

    // Building the candidates of a service with many targets for each call would cost more than
    // choosing among them.
    private static final long MAX_CANDIDATES_AGE_NANOS = 20_000_000L;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    // The interval between requests for a load report to a guard whose target accepts no work.
    private static final long REPORT_REQUEST_INTERVAL_NANOS = 200_000_000L;

    private final String service;
    private final String dataCentre;
    private final PolicyDefinition policy;
    private final AttemptSender sender;
    private final RandomGenerator random;
    private final BalancingStrategy strategy = ExpectedCompletionStrategy.create();
    private final OutlierEjection ejection;
    private final RetryBudget budget;
    private final RetryStrategy retries;
    private final HedgeStrategy hedges;
    private final Map<NodeId, LoadReport> unavailableReports = new HashMap<>();
    private RoutingTable table = RoutingTable.empty();
    private List<RouteTarget> targets = List.of();
    private CandidateGroups candidates = CandidateGroups.of(List.of(), "");
    private long candidatesBuiltNanos;
    private long reportsRequestedNanos;

    ServiceState(
            String service,
            String dataCentre,
            PolicyDefinition policy,
            AttemptSender sender,
            RandomGenerator random) {
        this.service = service;
        this.dataCentre = dataCentre;
        this.policy = policy;
        this.sender = sender;
        this.random = random;
        this.ejection = OutlierEjection.create(policy.ejectionShare());
        this.budget = RetryBudget.of(policy.retryShare());
        this.retries = DefaultRetryStrategy.create(budget);
        this.hedges = QuantileHedgeStrategy.create(policy.hedgeQuantile(), budget);
    }

    String service() {
        return service;
    }

    PolicyDefinition policy() {
        return policy;
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
                            target.dataCentre(),
                            sender.roundTripNanos(target) + dataCentreCostNanos(target),
                            target.suspect()));
        }
        candidates = CandidateGroups.of(next, dataCentre);
        requestReportsFromUnavailableTargets(nowNanos);
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

    Optional<RouteTarget> choose(Set<NodeId> excluded, TimeLeft timeLeft, long nowNanos) {
        return strategy.choose(candidates, excluded, timeLeft, nowNanos, random)
                .flatMap(this::findTarget);
    }

    Optional<RouteTarget> findTarget(NodeId node) {
        return targets.stream().filter(target -> target.node().equals(node)).findFirst();
    }

    long expectedWaitNanos(NodeId node, long nowNanos) {
        return strategy.expectedWaitNanos(node, nowNanos);
    }

    long serviceNanos() {
        return strategy.serviceNanos();
    }

    boolean isSlow(NodeId node, long nowNanos) {
        return strategy.isSlow(node, nowNanos);
    }

    /**
     * Returns whether the target reports its speed, so that a slow phase is detected immediately.
     */
    boolean reportsSpeed(NodeId node) {
        return strategy.reportsSlowdown(node);
    }

    void onSent(NodeId node, long nowNanos) {
        strategy.onSent(node, nowNanos);
    }

    void onEnded(NodeId node, AttemptResult result, long latencyNanos, long nowNanos) {
        strategy.onEnded(node, result, latencyNanos, nowNanos);
        if (result != AttemptResult.CANCELLED && result != AttemptResult.REFUSED) {
            ejection.onEnded(node, result.countsAgainstTarget(), targets.size(), nowNanos);
        }
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
     * work. These guards are sent no calls, so no answer would show that the target accepts work
     * again.
     */
    private void requestReportsFromUnavailableTargets(long nowNanos) {
        if (unavailableReports.isEmpty()
                || nowNanos - reportsRequestedNanos < REPORT_REQUEST_INTERVAL_NANOS) {
            return;
        }
        reportsRequestedNanos = nowNanos;
        unavailableReports.keySet().removeIf(node -> findTarget(node).isEmpty());
        for (NodeId node : List.copyOf(unavailableReports.keySet())) {
            sender.requestReport(findTarget(node).orElseThrow());
        }
    }

    // A routing table is replaced as a whole, so comparing contents would only cost time.
    private static boolean isSameInstance(Object one, Object other) {
        return one == other;
    }
}
