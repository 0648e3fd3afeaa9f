package org.dogwoodwood.benchmarks.policy;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import org.dogwoodwood.benchmarks.simulation.SimulatedCall;
import org.dogwoodwood.benchmarks.simulation.Simulation;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.core.balancing.AttemptResult;
import org.dogwoodwood.core.balancing.BalancingStrategy;
import org.dogwoodwood.core.balancing.Candidate;
import org.dogwoodwood.core.balancing.ExpectedCompletionStrategy;
import org.dogwoodwood.core.configuration.PolicyDefinition;
import org.dogwoodwood.core.model.CallDescription;
import org.dogwoodwood.core.model.CallId;
import org.dogwoodwood.core.model.LoadReport;
import org.dogwoodwood.core.model.NodeId;
import org.dogwoodwood.core.model.Outcome;
import org.dogwoodwood.core.retry.DefaultRetryStrategy;
import org.dogwoodwood.core.retry.HedgeBudget;
import org.dogwoodwood.core.retry.HedgeStrategy;
import org.dogwoodwood.core.retry.QuantileHedgeStrategy;
import org.dogwoodwood.core.retry.RetryBudget;
import org.dogwoodwood.core.retry.RetryStrategy;

/**
 * The part of an ingress that serves one service, with the target choice, retries and hedges of
 * this project.
 */
final class SimulatedIngress {

    private final DogwoodwoodPolicy policy;
    private final Simulation simulation;
    private final int nodeIndex;
    private final SplittableRandom random;
    private final BalancingStrategy balancing = ExpectedCompletionStrategy.create();
    private final RetryBudget budget;
    private final RetryStrategy retries;
    private final HedgeBudget hedgeBudget;
    private final HedgeStrategy hedges;
    private List<Candidate> candidates;

    SimulatedIngress(
            DogwoodwoodPolicy policy,
            Simulation simulation,
            int nodeIndex,
            PolicyDefinition definition,
            List<Candidate> candidates,
            SplittableRandom random) {
        this.policy = policy;
        this.simulation = simulation;
        this.nodeIndex = nodeIndex;
        this.random = random;
        this.candidates = candidates;
        this.budget = RetryBudget.of(definition.retryShare());
        this.retries = DefaultRetryStrategy.create(budget);
        this.hedgeBudget = HedgeBudget.of(definition.hedgeShare(), budget);
        this.hedges = QuantileHedgeStrategy.create(definition.hedgeQuantile(), hedgeBudget);
    }

    void accept(SimulatedCall call) {
        hedgeBudget.onCall();
        CallInProgress callInProgress = new CallInProgress(call);
        callInProgress.sendNext();
        simulation.events().scheduleAt(call.ingressDeadlineNanos(), callInProgress::onDeadline);
    }

    /** Applies a load report that arrived separately from an answer. */
    void onReport(LoadReport report) {
        balancing.onReport(report, simulation.events().nowNanos());
    }

    void setCandidates(List<Candidate> newCandidates) {
        candidates = newCandidates;
    }

    /** A call that has not been answered yet. */
    private final class CallInProgress {
        private static final long SPEED_CHECK_NANOS = 25_000_000L;

        private final SimulatedCall call;
        private final long arrivedNanos = simulation.events().nowNanos();
        private final Set<NodeId> refusedBy = new HashSet<>();

        /** Guards that refused for a reason other than load, so that queueing there cannot help. */
        private final Set<NodeId> unavailable = new HashSet<>();

        private final CallId id;
        private PendingAttempt primary;
        private PendingAttempt hedge;
        private int attempts;
        private boolean ended;
        private boolean hedgeScheduled;
        private boolean startedSlow;

        CallInProgress(SimulatedCall call) {
            this.call = call;
            this.id = CallId.of(policy.nodeId(nodeIndex), 1, call.number());
        }

        void sendNext() {
            int untried = candidates.size() - refusedBy.size();
            boolean queueAllowed = retries.mayQueue(attempts, untried);
            Optional<NodeId> node = choose(queueAllowed ? unavailable : refusedBy);
            if (node.isEmpty()) {
                refuse();
                return;
            }
            long wait = balancing.expectedWaitNanos(node.get(), simulation.events().nowNanos());
            boolean mayQueue = retries.mayQueue(attempts, untried, wait, balancing.serviceNanos());
            primary = send(node.get(), mayQueue);
            if (!hedgeScheduled && call.idempotent()) {
                hedgeScheduled = true;
                scheduleHedge();
            }
        }

        void onDeadline() {
            if (!ended) {
                markEnded();
                simulation.fail(call);
                cancel(primary);
                cancel(hedge);
            }
        }

        private void scheduleHedge() {
            if (balancing.reportsSlowdown(primary.node)) {
                simulation.events().scheduleAfter(SPEED_CHECK_NANOS, this::hedgeIfStartedSlow);
                return;
            }
            OptionalLong delay = hedges.delayNanos();
            if (delay.isPresent()) {
                simulation.events().scheduleAfter(delay.getAsLong(), this::sendHedge);
            }
        }

        /**
         * Hedges a call that was seen at a slow target: work that started in a slow phase remains
         * slow after the phase has ended.
         */
        private void hedgeIfStartedSlow() {
            if (ended) {
                return;
            }
            long now = simulation.events().nowNanos();
            startedSlow |= primary != null && balancing.isSlow(primary.node, now);
            Set<NodeId> excluded = new HashSet<>(refusedBy);
            if (primary != null) {
                excluded.add(primary.node);
            }
            Optional<NodeId> node = choose(excluded).filter(other -> !balancing.isSlow(other, now));
            boolean mayHedge = startedSlow && primary != null && hedge == null && node.isPresent();
            if (mayHedge && SimulatedIngress.this.hedges.tryHedge()) {
                simulation.measurements().onHedge(call);
                hedge = send(node.get(), false);
            }
            if (hedge == null) {
                simulation.events().scheduleAfter(SPEED_CHECK_NANOS, this::hedgeIfStartedSlow);
            }
        }

        private void sendHedge() {
            if (ended) {
                return;
            }
            if (primary == null
                    || !balancing.isSlow(primary.node, simulation.events().nowNanos())) {
                simulation.events().scheduleAfter(hedges.recheckNanos(), this::sendHedge);
                return;
            }
            Set<NodeId> excluded = new HashSet<>(refusedBy);
            excluded.add(primary.node);
            Optional<NodeId> node = choose(excluded);
            if (node.isPresent() && hedges.tryHedge()) {
                simulation.measurements().onHedge(call);
                hedge = send(node.get(), false);
            }
        }

        private Optional<NodeId> choose(Set<NodeId> excluded) {
            return balancing.choose(candidates, excluded, simulation.events().nowNanos(), random);
        }

        private PendingAttempt send(NodeId node, boolean mayQueue) {
            PendingAttempt pending =
                    new PendingAttempt(node, attempts++, mayQueue, simulation.events().nowNanos());
            CallDescription description =
                    new CallDescription(
                            id,
                            pending.attempt,
                            "service-" + call.service(),
                            "default",
                            call.idempotent(),
                            Optional.empty(),
                            call.number(),
                            0,
                            call.ingressDeadlineNanos(),
                            call.ingressObjectiveNanos(),
                            mayQueue);
            simulation.measurements().onAttempt(call);
            balancing.onSent(node, simulation.events().nowNanos());
            int to = policy.indexOf(node);
            simulation.send(
                    nodeIndex,
                    to,
                    () ->
                            policy.guard(to)
                                    .offer(
                                            nodeIndex,
                                            description,
                                            call.demandNanos(),
                                            answer ->
                                                    simulation.send(
                                                            to,
                                                            nodeIndex,
                                                            () -> onAnswer(pending, answer))));
            return pending;
        }

        private void onAnswer(PendingAttempt pending, SimulatedGuard.Answer answer) {
            long now = simulation.events().nowNanos();
            boolean refused = answer.refusal().isPresent();
            AttemptResult result = refused ? AttemptResult.REFUSED : AttemptResult.SUCCEEDED;
            if (!pending.cancelled) {
                balancing.onEnded(pending.node, result, now - pending.sentNanos, now);
            }
            balancing.onReport(answer.report(), now);
            if (ended) {
                return;
            }
            if (refused) {
                onRefused(pending, answer);
                return;
            }
            markEnded();
            budget.onSuccess();
            hedges.onAnswered(now - arrivedNanos);
            simulation.answer(call);
            cancel(pending.equals(primary) ? hedge : primary);
        }

        private void onRefused(PendingAttempt pending, SimulatedGuard.Answer answer) {
            if (pending.equals(hedge)) {
                hedge = null;
                if (primary == null) {
                    refuse();
                }
                return;
            }
            primary = null;
            refusedBy.add(pending.node);
            if (!answer.refusal().equals(Optional.of(ErrorCode.GUARD_BUSY))) {
                unavailable.add(pending.node);
            }
            long remaining = call.ingressDeadlineNanos() - simulation.events().nowNanos();
            boolean retry =
                    retries.shouldRetry(
                            attempts,
                            Outcome.NOT_RUN,
                            answer.refusal().orElseThrow(),
                            call.idempotent(),
                            remaining);
            if (retry) {
                attempts = retries.nextAttempt(attempts, pending.mayQueue);
                sendNext();
            } else if (hedge == null) {
                refuse();
            }
        }

        private void refuse() {
            markEnded();
            simulation.refuse(call);
        }

        private void markEnded() {
            ended = true;
        }

        private void cancel(PendingAttempt pending) {
            if (pending != null) {
                pending.cancelled = true;
                long now = simulation.events().nowNanos();
                balancing.onEnded(
                        pending.node, AttemptResult.CANCELLED, now - pending.sentNanos, now);
                int to = policy.indexOf(pending.node);
                simulation.send(nodeIndex, to, () -> policy.guard(to).cancel(id, pending.attempt));
            }
        }
    }

    /** An attempt that has not been answered yet. */
    private static final class PendingAttempt {
        private final NodeId node;
        private final int attempt;
        private final long sentNanos;
        private final boolean mayQueue;
        private boolean cancelled;

        PendingAttempt(NodeId node, int attempt, boolean mayQueue, long sentNanos) {
            this.node = node;
            this.attempt = attempt;
            this.mayQueue = mayQueue;
            this.sentNanos = sentNanos;
        }
    }
}
