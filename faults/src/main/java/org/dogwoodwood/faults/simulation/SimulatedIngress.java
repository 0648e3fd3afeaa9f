package org.dogwoodwood.faults.simulation;

import java.nio.charset.StandardCharsets;
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
import org.dogwoodwood.core.health.CrashSuspicion;
import org.dogwoodwood.core.health.CrashTrials;
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

/** The ingress of a node, which chooses targets and sends, resumes and retries attempts. */
final class SimulatedIngress {

    private static final long PING_INTERVAL_NANOS = 200 * EventLoop.MILLISECOND;
    private static final long SILENCE_LIMIT_NANOS = 600 * EventLoop.MILLISECOND;
    private static final long RETRY_DELAY_NANOS = 5 * EventLoop.MILLISECOND;

    private static final class OpenCall {
        private final Request request;
        private final CallId id;
        private final long deadlineNanos;
        private final Set<NodeId> excluded = new HashSet<>();
        private int attempts;
        private boolean mayHaveRun;
        private boolean done;

        OpenCall(Request request, CallId id, long deadlineNanos) {
            this.request = request;
            this.id = id;
            this.deadlineNanos = deadlineNanos;
        }
    }

    private record Attempt(OpenCall call, CallMessage message, NodeId guard, long sentAtNanos) {}

    private final SimulatedNode node;
    private final SimulatedCluster cluster;
    private final EventLoop loop;
    private final Network network;
    private final BalancingStrategy balancing = ExpectedCompletionStrategy.create();
    private final OutlierEjection ejection;
    private final RetryBudget retryBudget;
    private final RetryStrategy retries;
    private final Map<AttemptId, Attempt> attempts = new LinkedHashMap<>();
    private final Map<NodeId, Long> lastActivityNanos = new LinkedHashMap<>();
    private long callSequence;
    private int openCalls;

    SimulatedIngress(SimulatedNode node, SimulatedCluster cluster) {
        this.node = node;
        this.cluster = cluster;
        this.loop = cluster.loop();
        this.network = cluster.network();
        this.ejection = OutlierEjection.create(cluster.policies().policy().ejectionShare());
        this.retryBudget = RetryBudget.of(cluster.policies().policy().retryShare());
        this.retries = DefaultRetryStrategy.create(retryBudget);
    }

    void start() {
        ping();
    }

    int openCalls() {
        return openCalls;
    }

    /** Accepts a request of a caller. */
    void submit(Request request) {
        CallId id = CallId.of(node.id(), node.incarnation(), ++callSequence);
        OpenCall call = new OpenCall(request, id, loop.now() + request.timeoutNanos());
        openCalls++;
        node.schedule(request.timeoutNanos(), () -> onDeadline(call));
        sendNextAttempt(call);
    }

    /** Reconnects to a node after the connection was reset, and resumes the attempts sent to it. */
    void onConnectionReset(NodeId guard) {
        network.reconnect(node.id(), guard);
        attemptsAt(guard).forEach(this::resume);
    }

    private void sendNextAttempt(OpenCall call) {
        if (call.done) {
            return;
        }
        Optional<CrashSuspicion> blocked = node.control().blocked(call.request.fingerprint());
        if (blocked.isPresent() && !mayBeTried(call, blocked.get())) {
            respond(call, FinishedCall.notRun(ErrorCode.CRASHING_REQUEST));
            return;
        }
        Optional<RegisteredMember> chosen = choose(call, blocked.isPresent());
        if (chosen.isEmpty()) {
            respond(call, FinishedCall.notRun(ErrorCode.NO_TARGET));
            return;
        }
        cluster.reportStep(
                StepContext.ofCall(Step.CHOOSING, node.id(), chosen.get().node(), call.request));
        send(call, chosen.get());
    }

    private Optional<RegisteredMember> choose(OpenCall call, boolean onTrial) {
        Request request = call.request;
        if (request.key().isPresent() && !request.idempotent()) {
            return node.control()
                    .ownership()
                    .currentView()
                    .flatMap(view -> view.ownerOf(SimulatedCluster.SERVICE, request.key().get()));
        }
        List<Member> accepting = node.control().acceptingMembers();
        if (onTrial) {
            return CrashTrials.targetOf(request.fingerprint(), node.control().acceptingNodes())
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

    /** Returns whether a trial of a blocked request is due and this call has made no attempt. */
    private boolean mayBeTried(OpenCall call, CrashSuspicion suspicion) {
        return call.excluded.isEmpty()
                && suspicion.isTrialDue(node.control().crashPolicy(), loop.now());
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
                member.target().stateVersion(),
                member.address().dataCentre(),
                network.roundTripNanos(node.id(), member.node()),
                member.liveness() != Liveness.ALIVE);
    }

    private void send(OpenCall call, RegisteredMember guard) {
        Request request = call.request;
        boolean mayQueue =
                request.key().isPresent()
                        || retries.mayQueue(
                                call.attempts,
                                node.control().acceptingMembers().size() - call.excluded.size());
        CallDescription description =
                new CallDescription(
                        call.id,
                        call.attempts++,
                        SimulatedCluster.SERVICE,
                        "default",
                        request.idempotent(),
                        request.key(),
                        request.fingerprint(),
                        0,
                        call.deadlineNanos,
                        call.deadlineNanos,
                        mayQueue);
        CallMessage message = new CallMessage(description, guard.incarnation(), request);
        Attempt attempt = new Attempt(call, message, guard.node(), loop.now());
        attempts.put(message.id(), attempt);
        lastActivityNanos.putIfAbsent(guard.node(), loop.now());
        balancing.onSent(guard.node(), loop.now());
        cluster.reportStep(StepContext.ofCall(Step.SENDING, node.id(), guard.node(), request));
        if (!cluster.isProcessUp(guard.node())) {
            // The connection is refused before the frame is written.
            FinishedCall refused = FinishedCall.notRun(ErrorCode.NO_TARGET);
            node.schedule(EventLoop.MILLISECOND, () -> endAttempt(message.id(), refused));
            return;
        }
        long epoch = network.epoch(node.id(), guard.node());
        network.send(
                node.id(),
                guard.node(),
                () ->
                        cluster.executeOn(
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
        if (!cluster.isProcessUp(attempt.guard())) {
            endAttempt(id, FinishedCall.unknown(ErrorCode.OUTCOME_UNKNOWN));
            return;
        }
        long epoch = network.epoch(node.id(), attempt.guard());
        network.send(
                node.id(),
                attempt.guard(),
                () ->
                        cluster.executeOn(
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
                .filter(expected -> cluster.policies().matches(expected, answer.id()))
                .findFirst()
                .ifPresent(expected -> endAttempt(expected, answer.finished()));
    }

    private void endAttempt(AttemptId id, FinishedCall finished) {
        Attempt attempt = attempts.remove(id);
        if (attempt == null) {
            return;
        }
        AttemptResult result = resultOf(finished);
        long latencyNanos = loop.now() - attempt.sentAtNanos();
        balancing.onEnded(attempt.guard(), result, latencyNanos, loop.now());
        int targetCount = node.control().acceptingMembers().size();
        ejection.onEnded(attempt.guard(), result.countsAgainstTarget(), targetCount, loop.now());
        OpenCall call = attempt.call();
        if (call.done) {
            return;
        }
        call.excluded.add(attempt.guard());
        if (finished.outcome() == Outcome.ANSWERED) {
            retryBudget.onSuccess();
            cluster.reportStep(
                    StepContext.ofCall(Step.FINISHED, node.id(), attempt.guard(), call.request));
            respond(call, finished);
            return;
        }
        call.mayHaveRun |= finished.outcome() == Outcome.UNKNOWN;
        boolean retry =
                retries.shouldRetry(
                        call.attempts,
                        finished.outcome(),
                        finished.error().orElseThrow(),
                        call.request.idempotent(),
                        call.deadlineNanos - loop.now());
        if (retry) {
            node.schedule(RETRY_DELAY_NANOS, () -> sendNextAttempt(call));
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
                    attempt.guard(),
                    AttemptResult.LOST,
                    loop.now() - attempt.sentAtNanos(),
                    loop.now());
            network.send(
                    node.id(),
                    attempt.guard(),
                    () -> cluster.executeOn(attempt.guard(), other -> other.guard().onCancel(id)));
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
        openCalls--;
        Outcome outcome = finished.outcome();
        if (outcome != Outcome.ANSWERED) {
            outcome = cluster.policies().outcomeForCaller(outcome, call.mayHaveRun);
        }
        Optional<String> body =
                finished.answer().map(answer -> new String(answer.body(), StandardCharsets.UTF_8));
        cluster.callers().onResponse(call.request, outcome, finished.error(), body);
    }

    private void ping() {
        for (NodeId guard : List.copyOf(lastActivityNanos.keySet())) {
            if (attemptsAt(guard).isEmpty() || guard.equals(node.id())) {
                lastActivityNanos.remove(guard);
            } else if (loop.now() - lastActivityNanos.get(guard) > SILENCE_LIMIT_NANOS) {
                lastActivityNanos.put(guard, loop.now());
                onConnectionReset(guard);
            } else {
                sendPing(guard);
            }
        }
        node.schedule(PING_INTERVAL_NANOS, this::ping);
    }

    private void sendPing(NodeId guard) {
        long epoch = network.epoch(node.id(), guard);
        network.send(
                node.id(),
                guard,
                () ->
                        cluster.executeOn(
                                guard,
                                other ->
                                        network.reply(
                                                guard,
                                                node.id(),
                                                epoch,
                                                () -> node.execute(() -> onPong(guard)))));
    }

    private void onPong(NodeId guard) {
        lastActivityNanos.computeIfPresent(guard, (any, previous) -> loop.now());
    }

    private List<Attempt> attemptsAt(NodeId guard) {
        return attempts.values().stream().filter(attempt -> attempt.guard().equals(guard)).toList();
    }
}
