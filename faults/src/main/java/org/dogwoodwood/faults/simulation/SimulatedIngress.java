package org.dogwoodwood.faults.simulation;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.core.balancing.AttemptResult;
import org.dogwoodwood.core.balancing.BalancingStrategy;
import org.dogwoodwood.core.balancing.Candidate;
import org.dogwoodwood.core.balancing.ExpectedCompletionStrategy;
import org.dogwoodwood.core.calls.AttemptId;
import org.dogwoodwood.core.calls.FinishedCall;
import org.dogwoodwood.core.health.CrashFingerprintRegistry;
import org.dogwoodwood.core.health.CrashStanding;
import org.dogwoodwood.core.health.OutlierEjection;
import org.dogwoodwood.core.idempotency.MemberView.RegisteredMember;
import org.dogwoodwood.core.membership.Liveness;
import org.dogwoodwood.core.membership.Member;
import org.dogwoodwood.core.model.CallDescription;
import org.dogwoodwood.core.model.CallId;
import org.dogwoodwood.core.model.NodeId;
import org.dogwoodwood.core.model.Outcome;
import org.dogwoodwood.core.retry.DefaultRetryStrategy;
import org.dogwoodwood.core.retry.RetryBudget;
import org.dogwoodwood.core.retry.RetryStrategy;

/** The ingress of one node: chooses targets, sends, resumes and retries. */
final class SimulatedIngress {

    private static final long PING_NANOS = 200 * EventLoop.MILLISECOND;
    private static final long SILENCE_NANOS = 600 * EventLoop.MILLISECOND;
    private static final long RETRY_NANOS = 5 * EventLoop.MILLISECOND;

    private static final class OpenCall {
        private final Request request;
        private final CallId id;
        private final long deadline;
        private final Set<NodeId> excluded = new HashSet<>();
        private int attempts;
        private boolean mayHaveRun;
        private boolean done;

        OpenCall(Request request, CallId id, long deadline) {
            this.request = request;
            this.id = id;
            this.deadline = deadline;
        }
    }

    private record Attempt(OpenCall call, CallMessage message, NodeId guard, long sentAt) {}

    private final SimulatedNode node;
    private final World world;
    private final EventLoop loop;
    private final Network network;
    private final BalancingStrategy balancing = ExpectedCompletionStrategy.create();
    private final OutlierEjection ejection;
    private final RetryBudget budget;
    private final RetryStrategy retries;
    private final Map<AttemptId, Attempt> attempts = new LinkedHashMap<>();
    private final Map<NodeId, Long> heardAt = new HashMap<>();
    private long counter;
    private int open;

    SimulatedIngress(SimulatedNode node, World world) {
        this.node = node;
        this.world = world;
        this.loop = world.loop();
        this.network = world.network();
        this.ejection = OutlierEjection.create(world.policies().policy().ejectionShare());
        this.budget = RetryBudget.of(world.policies().policy().retryShare());
        this.retries = DefaultRetryStrategy.create(budget);
    }

    void start() {
        ping();
    }

    int open() {
        return open;
    }

    /** Takes in a caller's request. */
    void submit(Request request) {
        CallId id = CallId.of(node.id(), node.incarnation(), ++counter);
        OpenCall call = new OpenCall(request, id, loop.now() + request.timeoutNanos());
        open++;
        node.later(request.timeoutNanos(), () -> onDeadline(call));
        sendNext(call);
    }

    /** Learns that the connection to a node was reset. */
    void onReset(NodeId guard) {
        network.reconnect(node.id(), guard);
        attemptsAt(guard).forEach(this::resume);
    }

    private void sendNext(OpenCall call) {
        if (call.done) {
            return;
        }
        CrashStanding standing =
                node.control().crashes().standing(call.request.fingerprint(), loop.now());
        if (standing == CrashStanding.BLOCKED) {
            respond(call, FinishedCall.notRun(ErrorCode.CRASHING_REQUEST));
            return;
        }
        Optional<RegisteredMember> chosen = choose(call, standing);
        if (chosen.isEmpty()) {
            respond(call, FinishedCall.notRun(ErrorCode.NO_TARGET));
            return;
        }
        world.reach(
                StepContext.ofCall(Step.CHOOSING, node.id(), chosen.get().node(), call.request));
        send(call, chosen.get());
    }

    private Optional<RegisteredMember> choose(OpenCall call, CrashStanding standing) {
        Request request = call.request;
        if (request.key().isPresent() && !request.idempotent()) {
            return node.control()
                    .ownership()
                    .currentView()
                    .flatMap(view -> view.ownerOf(World.SERVICE, request.key().get()));
        }
        List<Member> accepting = node.control().accepting();
        if (standing == CrashStanding.SUSPECT) {
            return CrashFingerprintRegistry.trialTarget(
                            request.fingerprint(), node.control().acceptingNodes())
                    .flatMap(chosen -> memberOf(chosen, accepting));
        }
        List<Candidate> candidates =
                accepting.stream()
                        .filter(member -> !ejection.isEjected(member.node(), loop.now()))
                        .map(this::candidate)
                        .toList();
        return balancing
                .choose(candidates, call.excluded, loop.now(), loop.random())
                .flatMap(chosen -> memberOf(chosen, accepting));
    }

    private static Optional<RegisteredMember> memberOf(NodeId chosen, List<Member> members) {
        return members.stream()
                .filter(member -> member.node().equals(chosen))
                .map(member -> new RegisteredMember(member.node(), member.incarnation()))
                .findFirst();
    }

    private Candidate candidate(Member member) {
        return new Candidate(
                member.node(),
                member.incarnation(),
                member.address().dataCentre(),
                network.roundTrip(node.id(), member.node()),
                member.liveness() != Liveness.ALIVE);
    }

    private void send(OpenCall call, RegisteredMember guard) {
        Request request = call.request;
        boolean mayQueue =
                request.key().isPresent()
                        || retries.mayQueue(
                                call.attempts,
                                node.control().accepting().size() - call.excluded.size());
        CallDescription description =
                new CallDescription(
                        call.id,
                        call.attempts++,
                        World.SERVICE,
                        "default",
                        request.idempotent(),
                        request.key(),
                        request.fingerprint(),
                        0,
                        call.deadline,
                        call.deadline,
                        mayQueue);
        CallMessage message = new CallMessage(description, guard.incarnation(), request);
        Attempt attempt = new Attempt(call, message, guard.node(), loop.now());
        attempts.put(message.id(), attempt);
        heardAt.putIfAbsent(guard.node(), loop.now());
        balancing.onSent(guard.node(), loop.now());
        world.reach(StepContext.ofCall(Step.SENDING, node.id(), guard.node(), request));
        if (!world.isProcessUp(guard.node())) {
            // The connection is refused before the frame was written.
            FinishedCall refused = FinishedCall.notRun(ErrorCode.NO_TARGET);
            node.later(EventLoop.MILLISECOND, () -> end(message.id(), refused));
            return;
        }
        long epoch = network.epoch(node.id(), guard.node());
        network.send(
                node.id(),
                guard.node(),
                () ->
                        world.at(
                                guard.node(),
                                other ->
                                        other.guard()
                                                .onCall(
                                                        message,
                                                        answer -> reply(other, epoch, answer))));
    }

    private void reply(SimulatedNode guard, long epoch, AnswerMessage answer) {
        network.replyAnswer(
                guard.id(), node.id(), epoch, () -> node.execute(() -> onAnswer(answer)));
    }

    private void resume(Attempt attempt) {
        AttemptId id = attempt.message().id();
        if (!world.isProcessUp(attempt.guard())) {
            end(id, FinishedCall.unknown(ErrorCode.OUTCOME_UNKNOWN));
            return;
        }
        long epoch = network.epoch(node.id(), attempt.guard());
        network.send(
                node.id(),
                attempt.guard(),
                () ->
                        world.at(
                                attempt.guard(),
                                other ->
                                        other.guard()
                                                .onResume(
                                                        id,
                                                        attempt.message().expectedIncarnation(),
                                                        answer -> reply(other, epoch, answer))));
    }

    private void onAnswer(AnswerMessage answer) {
        balancing.onReport(answer.report(), loop.now());
        attempts.keySet().stream()
                .filter(expected -> world.policies().matches(expected, answer.id()))
                .findFirst()
                .ifPresent(expected -> end(expected, answer.finished()));
    }

    private void end(AttemptId id, FinishedCall finished) {
        Attempt attempt = attempts.remove(id);
        if (attempt == null) {
            return;
        }
        AttemptResult result = resultOf(finished);
        long latency = loop.now() - attempt.sentAt();
        balancing.onEnded(attempt.guard(), result, latency, loop.now());
        int targets = node.control().accepting().size();
        ejection.onEnded(attempt.guard(), result.countsAgainstTarget(), targets, loop.now());
        OpenCall call = attempt.call();
        if (call.done) {
            return;
        }
        call.excluded.add(attempt.guard());
        if (finished.outcome() == Outcome.ANSWERED) {
            budget.onSuccess();
            world.reach(
                    StepContext.ofCall(Step.FINISHED, node.id(), attempt.guard(), call.request));
            respond(call, finished);
            return;
        }
        call.mayHaveRun |= finished.outcome() == Outcome.UNKNOWN;
        boolean again =
                retries.shouldRetry(
                        call.attempts,
                        finished.outcome(),
                        finished.error().orElseThrow(),
                        call.request.idempotent(),
                        call.deadline - loop.now());
        if (again) {
            node.later(RETRY_NANOS, () -> sendNext(call));
        } else {
            respond(call, finished);
        }
    }

    private static AttemptResult resultOf(FinishedCall finished) {
        return switch (finished.outcome()) {
            case ANSWERED ->
                    finished.answer().orElseThrow().status() >= 500
                            ? AttemptResult.FAILED
                            : AttemptResult.SUCCEEDED;
            case NOT_RUN -> AttemptResult.REFUSED;
            case UNKNOWN -> AttemptResult.LOST;
        };
    }

    private void onDeadline(OpenCall call) {
        if (call.done) {
            return;
        }
        List<Attempt> outstanding =
                attempts.values().stream().filter(attempt -> attempt.call() == call).toList();
        for (Attempt attempt : outstanding) {
            AttemptId id = attempt.message().id();
            attempts.remove(id);
            balancing.onEnded(
                    attempt.guard(), AttemptResult.LOST, loop.now() - attempt.sentAt(), loop.now());
            network.send(
                    node.id(),
                    attempt.guard(),
                    () -> world.at(attempt.guard(), other -> other.guard().onCancel(id)));
        }
        call.mayHaveRun |= !outstanding.isEmpty();
        respond(
                call,
                call.mayHaveRun
                        ? FinishedCall.unknown(ErrorCode.DEADLINE_EXCEEDED)
                        : FinishedCall.notRun(ErrorCode.DEADLINE_TOO_SHORT));
    }

    private void respond(OpenCall call, FinishedCall finished) {
        call.done = true;
        open--;
        Outcome outcome = finished.outcome();
        if (outcome != Outcome.ANSWERED) {
            outcome = world.policies().outcomeToTell(outcome, call.mayHaveRun);
        }
        Optional<String> body =
                finished.answer().map(answer -> new String(answer.body(), StandardCharsets.UTF_8));
        world.callers().onResponse(call.request, outcome, finished.error(), body);
    }

    private void ping() {
        for (NodeId guard : Set.copyOf(heardAt.keySet())) {
            if (attemptsAt(guard).isEmpty() || guard.equals(node.id())) {
                heardAt.remove(guard);
            } else if (loop.now() - heardAt.get(guard) > SILENCE_NANOS) {
                heardAt.put(guard, loop.now());
                onReset(guard);
            } else {
                sendPing(guard);
            }
        }
        node.later(PING_NANOS, this::ping);
    }

    private void sendPing(NodeId guard) {
        long epoch = network.epoch(node.id(), guard);
        network.send(
                node.id(),
                guard,
                () ->
                        world.at(
                                guard,
                                other ->
                                        network.reply(
                                                guard,
                                                node.id(),
                                                epoch,
                                                () -> node.execute(() -> onPong(guard)))));
    }

    private void onPong(NodeId guard) {
        heardAt.computeIfPresent(guard, (any, before) -> loop.now());
    }

    private List<Attempt> attemptsAt(NodeId guard) {
        return attempts.values().stream().filter(attempt -> attempt.guard().equals(guard)).toList();
    }
}
