package org.dogwoodwood.benchmarks.policy;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import org.dogwoodwood.benchmarks.simulation.SimulatedCall;
import org.dogwoodwood.benchmarks.simulation.World;
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
import org.dogwoodwood.core.retry.HedgeStrategy;
import org.dogwoodwood.core.retry.QuantileHedgeStrategy;
import org.dogwoodwood.core.retry.RetryBudget;
import org.dogwoodwood.core.retry.RetryStrategy;

/** One ingress's part for one service: the project's choice, retries and hedges. */
final class SimulatedIngress {

    private final DogwoodwoodPolicy policy;
    private final World world;
    private final int index;
    private final SplittableRandom random;
    private final BalancingStrategy balancing = ExpectedCompletionStrategy.create();
    private final RetryBudget budget;
    private final RetryStrategy retries;
    private final HedgeStrategy hedges;
    private List<Candidate> candidates;

    SimulatedIngress(
            DogwoodwoodPolicy policy,
            World world,
            int index,
            PolicyDefinition definition,
            List<Candidate> candidates,
            SplittableRandom random) {
        this.policy = policy;
        this.world = world;
        this.index = index;
        this.random = random;
        this.candidates = candidates;
        this.budget = RetryBudget.of(definition.retryShare());
        this.retries = DefaultRetryStrategy.create(budget);
        this.hedges = QuantileHedgeStrategy.create(definition.hedgeQuantile(), budget);
    }

    void accept(SimulatedCall call) {
        CallInProgress started = new CallInProgress(call);
        started.sendNext();
        world.events().at(call.ingressDeadlineNanos(), started::endAtDeadline);
    }

    /** Takes in a report that came without an answer. */
    void onReport(LoadReport report) {
        balancing.onReport(report, world.events().nowNanos());
    }

    void setCandidates(List<Candidate> newCandidates) {
        candidates = newCandidates;
    }

    /** A call that has not been answered yet. */
    private final class CallInProgress {
        private static final long SPEED_CHECK_NANOS = 25_000_000L;

        private final SimulatedCall call;
        private final long arrivedNanos = world.events().nowNanos();
        private final Set<NodeId> refusedBy = new HashSet<>();

        /** Guards that refused for other reasons than load, so that queueing there cannot help. */
        private final Set<NodeId> unusable = new HashSet<>();

        private final CallId id;
        private Pending first;
        private Pending hedge;
        private int attempts;
        private boolean ended;
        private boolean hedgeScheduled;
        private boolean startedSlow;

        CallInProgress(SimulatedCall call) {
            this.call = call;
            this.id = CallId.of(policy.nodeId(index), 1, call.number());
        }

        void sendNext() {
            int untried = candidates.size() - refusedBy.size();
            boolean last = retries.mayQueue(attempts, untried);
            Optional<NodeId> node = choose(last ? unusable : refusedBy);
            if (node.isEmpty()) {
                refuse();
                return;
            }
            long wait = balancing.expectedWaitNanos(node.get(), world.events().nowNanos());
            boolean mayQueue = retries.mayQueue(attempts, untried, wait, balancing.serviceNanos());
            first = send(node.get(), mayQueue);
            if (!hedgeScheduled && call.idempotent()) {
                hedgeScheduled = true;
                scheduleHedge();
            }
        }

        void endAtDeadline() {
            if (!ended) {
                end();
                world.fail(call);
                cancel(first);
                cancel(hedge);
            }
        }

        private void scheduleHedge() {
            if (balancing.tellsSpeed(first.node)) {
                world.events().after(SPEED_CHECK_NANOS, this::hedgeSlowStart);
                return;
            }
            OptionalLong delay = hedges.delayNanos();
            if (delay.isPresent()) {
                world.events().after(delay.getAsLong(), this::sendHedge);
            }
        }

        /** Work that has started in a slow phase stays slow after its end. */
        private void hedgeSlowStart() {
            if (ended) {
                return;
            }
            long now = world.events().nowNanos();
            startedSlow |= first != null && balancing.isSlow(first.node, now);
            Set<NodeId> excluded = new HashSet<>(refusedBy);
            if (first != null) {
                excluded.add(first.node);
            }
            Optional<NodeId> node = choose(excluded).filter(other -> !balancing.isSlow(other, now));
            boolean hedges = startedSlow && first != null && hedge == null && node.isPresent();
            if (hedges && SimulatedIngress.this.hedges.tryHedge()) {
                world.measurements().onHedge(call);
                hedge = send(node.get(), false);
            }
            if (hedge == null) {
                world.events().after(SPEED_CHECK_NANOS, this::hedgeSlowStart);
            }
        }

        private void sendHedge() {
            if (ended) {
                return;
            }
            if (first == null || !balancing.isSlow(first.node, world.events().nowNanos())) {
                world.events().after(hedges.recheckNanos(), this::sendHedge);
                return;
            }
            Set<NodeId> excluded = new HashSet<>(refusedBy);
            excluded.add(first.node);
            Optional<NodeId> node = choose(excluded);
            if (node.isPresent() && hedges.tryHedge()) {
                world.measurements().onHedge(call);
                hedge = send(node.get(), false);
            }
        }

        private Optional<NodeId> choose(Set<NodeId> excluded) {
            return balancing.choose(candidates, excluded, world.events().nowNanos(), random);
        }

        private Pending send(NodeId node, boolean mayQueue) {
            Pending pending = new Pending(node, attempts++, mayQueue, world.events().nowNanos());
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
            world.measurements().onAttempt(call);
            balancing.onSent(node, world.events().nowNanos());
            int to = policy.indexOf(node);
            world.send(
                    index,
                    to,
                    () ->
                            policy.guard(to)
                                    .offer(
                                            index,
                                            description,
                                            call.demandNanos(),
                                            answer ->
                                                    world.send(
                                                            to,
                                                            index,
                                                            () -> onAnswer(pending, answer))));
            return pending;
        }

        private void onAnswer(Pending pending, SimulatedGuard.Answer answer) {
            long now = world.events().nowNanos();
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
            end();
            budget.onSuccess();
            hedges.onAnswered(now - arrivedNanos);
            world.answer(call);
            cancel(pending.equals(first) ? hedge : first);
        }

        private void onRefused(Pending pending, SimulatedGuard.Answer answer) {
            if (pending.equals(hedge)) {
                hedge = null;
                if (first == null) {
                    refuse();
                }
                return;
            }
            first = null;
            refusedBy.add(pending.node);
            if (!answer.refusal().equals(Optional.of(ErrorCode.GUARD_BUSY))) {
                unusable.add(pending.node);
            }
            long remaining = call.ingressDeadlineNanos() - world.events().nowNanos();
            boolean again =
                    retries.shouldRetry(
                            attempts,
                            Outcome.NOT_RUN,
                            answer.refusal().orElseThrow(),
                            call.idempotent(),
                            remaining);
            if (again) {
                attempts = retries.nextAttempt(attempts, pending.mayQueue);
                sendNext();
            } else if (hedge == null) {
                refuse();
            }
        }

        private void refuse() {
            end();
            world.refuse(call);
        }

        private void end() {
            ended = true;
        }

        private void cancel(Pending pending) {
            if (pending != null) {
                pending.cancelled = true;
                long now = world.events().nowNanos();
                balancing.onEnded(
                        pending.node, AttemptResult.CANCELLED, now - pending.sentNanos, now);
                int to = policy.indexOf(pending.node);
                world.send(index, to, () -> policy.guard(to).cancel(id, pending.attempt));
            }
        }
    }

    /** An attempt that has not been answered yet. */
    private static final class Pending {
        private final NodeId node;
        private final int attempt;
        private final long sentNanos;
        private final boolean mayQueue;
        private boolean cancelled;

        Pending(NodeId node, int attempt, boolean mayQueue, long sentNanos) {
            this.node = node;
            this.attempt = attempt;
            this.mayQueue = mayQueue;
            this.sentNanos = sentNanos;
        }
    }
}
