package org.dogwoodwood.node.ingress;

import io.vertx.core.Vertx;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import org.dogwoodwood.codec.wire.CallFrame;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.core.balancing.AttemptResult;
import org.dogwoodwood.core.balancing.CallNeeds;
import org.dogwoodwood.core.calls.AttemptId;
import org.dogwoodwood.core.calls.FinishedCall;
import org.dogwoodwood.core.model.CallId;
import org.dogwoodwood.core.model.NodeId;
import org.dogwoodwood.core.model.Outcome;
import org.dogwoodwood.core.retry.HedgeDecision;
import org.dogwoodwood.core.routing.RouteTarget;
import org.dogwoodwood.node.peer.AttemptAnswer;

/**
 * Runs one call: sends its attempts, retries and hedges, and reports its result once.
 *
 * <p>A non-idempotent call is retried only after an attempt that certainly did not run. The call is
 * reported as not run only if none of its attempts may have run.
 */
final class IngressCall {

    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final int SERVER_ERROR = 500;

    // Limits the time reserved for the round trip. Round trips take a few milliseconds; if a stall
    // inflates the measured one, the guard must not give up far too early.
    private static final long MAX_ROUND_TRIP_RESERVE_NANOS = 10_000_000L;

    // Short compared with the duration of calls, so that a call is hedged early in a slow phase.
    private static final long SLOWNESS_CHECK_NANOS = 25_000_000L;

    private final Ingress ingress;
    private final Vertx vertx;
    private final ServiceState state;
    private final IngressRequest request;
    private final CallId id;
    private final long fingerprint;
    private final Consumer<FinishedCall> listener;
    private final CallLog log;
    private final Map<Integer, OpenAttempt> openAttempts = new HashMap<>();
    private final Set<NodeId> excluded = new HashSet<>();
    // Nodes at which an attempt failed for a reason other than load, so that queueing there cannot
    // help.
    private final Set<NodeId> unusable = new HashSet<>();
    // Nodes whose target may have got the call. It gets no further attempt, since it may repeat its
    // first answer late, in place of the answer to that attempt.
    private final Set<NodeId> reached = new HashSet<>();
    private Optional<FinishedCall> unknownResult = Optional.empty();
    private int attemptsMade;
    // Attempts that may have reached a target; the route's limit counts only these.
    private int targetsReached;
    private long deadlineTimer = -1;
    private long hedgeTimer = -1;
    private double firstSlowdown = 1;
    private int hedgesSent;
    private int hedgesWon;
    private boolean ended;

    IngressCall(
            Ingress ingress,
            Vertx vertx,
            ServiceState state,
            IngressRequest request,
            CallId id,
            Consumer<FinishedCall> listener) {
        this.ingress = ingress;
        this.vertx = vertx;
        this.state = state;
        this.request = request;
        this.id = id;
        this.fingerprint = request.fingerprint();
        this.listener = listener;
        this.log = new CallLog(ingress.log(), id, state.service(), request);
    }

    void start() {
        long remainingNanos = request.deadlineNanos() - System.nanoTime();
        if (remainingNanos < NANOS_PER_MILLI) {
            end(FinishedCall.notRun(ErrorCode.DEADLINE_TOO_SHORT));
            return;
        }
        deadlineTimer = vertx.setTimer(ceilMillis(remainingNanos), ignored -> onDeadline());
        runUnlessEnded(
                () -> {
                    sendNextAttempt();
                    scheduleHedge();
                });
    }

    /** Cancels the call because its caller has disconnected; the listener is not called. */
    void cancel() {
        if (!ended) {
            ended = true;
            release();
            log.onCancelled(attemptsMade);
            cancelOpenAttempts(AttemptResult.CANCELLED);
        }
    }

    /**
     * Runs an action after the sockets have been read, unless the call has ended by then, for
     * example because its caller has disconnected.
     */
    private void runUnlessEnded(Runnable action) {
        ingress.startQueue()
                .execute(
                        () -> {
                            if (!ended) {
                                action.run();
                            }
                        });
    }

    private void sendNextAttempt() {
        long nowNanos = System.nanoTime();
        state.refresh(ingress.routingTable(), nowNanos);
        int untried = state.candidateCount() - excluded.size();
        boolean mayQueueAnywhere = state.retries().mayQueue(attemptsMade, untried);
        Optional<RouteTarget> target =
                chooseTarget(mayQueueAnywhere ? unusable : excluded, nowNanos);
        if (target.isEmpty()) {
            end(FinishedCall.notRun(noTargetError()));
            return;
        }
        long waitNanos = state.expectedWaitNanos(target.get().node(), nowNanos);
        boolean mayQueue =
                state.retries().mayQueue(attemptsMade, untried, waitNanos, state.serviceNanos());
        firstSlowdown = 1;
        send(target.get(), mayQueue || isKeyed(), waitNanos, nowNanos);
    }

    private ErrorCode noTargetError() {
        if (state.isInRemovedDataCentresOnly()) {
            return ErrorCode.DATA_CENTRE_OUT;
        }
        if (state.isBlocked(fingerprint)) {
            return ErrorCode.CRASHING_REQUEST;
        }
        if (!reached.isEmpty()) {
            return ErrorCode.TARGET_REFUSED;
        }
        // A call whose key is owned by a departed target must not run at another one.
        return isKeyed() && !state.targets().isEmpty()
                ? ErrorCode.KEY_IN_DOUBT
                : ErrorCode.NO_TARGET;
    }

    private Optional<RouteTarget> chooseTarget(Set<NodeId> excludedNodes, long nowNanos) {
        if (isKeyed()) {
            Optional<NodeId> owner = ingress.ownerOf(request, state.targets());
            if (owner.isPresent()) {
                return reached.contains(owner.get())
                        ? Optional.empty()
                        : state.findTarget(owner.get());
            }
        }
        if (state.isBlocked(fingerprint)) {
            ingress.answeredRequests().onBlocked(fingerprint, nowNanos);
            return state.trialTarget(fingerprint, nowNanos)
                    .filter(target -> !excluded.contains(target.node()));
        }
        Optional<RouteTarget> candidate =
                state.choose(excludedNodes, callNeeds(nowNanos), nowNanos);
        // When all targets have refused, the caller gets the reason from the answer of the best
        // one.
        return candidate.isPresent()
                ? candidate
                : state.choose(reached, callNeeds(nowNanos), nowNanos);
    }

    private CallNeeds callNeeds(long nowNanos) {
        return CallNeeds.of(
                objectiveMillis(nowNanos, 0) * NANOS_PER_MILLI,
                request.deadlineNanos() - nowNanos,
                request.content().body().length);
    }

    private boolean isKeyed() {
        return request.key().isPresent() && !request.idempotent();
    }

    private void send(RouteTarget target, boolean mayQueue, long waitNanos, long nowNanos) {
        int attempt = attemptsMade++;
        if (attempt == 0) {
            state.onFirstSent();
        }
        // The guard's deadline is earlier by the round trip: the guard must end a call that is
        // still queued so early that its definite result arrives before the caller's deadline, and
        // the answer of a target that meets its deadline must still arrive in time.
        long roundTripNanos =
                Math.min(MAX_ROUND_TRIP_RESERVE_NANOS, ingress.sender().roundTripNanos(target));
        long remainingNanos = request.deadlineNanos() - nowNanos - roundTripNanos;
        CallFrame frame =
                new CallFrame(
                        AttemptId.of(id, attempt),
                        target.incarnation(),
                        request.service().name(),
                        request.callClass(),
                        request.content(),
                        Math.max(1, remainingNanos / NANOS_PER_MILLI),
                        objectiveMillis(nowNanos, roundTripNanos),
                        request.idempotent(),
                        request.key(),
                        request.depth(),
                        fingerprint,
                        mayQueue,
                        request.account());
        OpenAttempt sent =
                new OpenAttempt(
                        frame.id(),
                        target,
                        nowNanos,
                        mayQueue,
                        mayQueue ? waitNanos : 0,
                        hedgesSent > 0 && !openAttempts.isEmpty());
        openAttempts.put(attempt, sent);
        state.onSent(target.node(), nowNanos);
        ingress.metrics().onAttempt();
        ingress.sender().send(target, frame).onSuccess(answer -> onAnswer(sent, answer));
    }

    /**
     * Returns the time within which a guard's answer keeps its full value for the caller, in
     * milliseconds.
     */
    private long objectiveMillis(long nowNanos, long roundTripNanos) {
        long spentNanos = nowNanos - request.arrivedNanos() + roundTripNanos;
        return Math.max(0, request.parameters().objectiveMillis() - spentNanos / NANOS_PER_MILLI);
    }

    private void onAnswer(OpenAttempt attempt, AttemptAnswer answer) {
        long nowNanos = System.nanoTime();
        answer.report().ifPresent(report -> state.onReport(report, nowNanos));
        if (ended || openAttempts.remove(attempt.id().attempt()) == null) {
            return;
        }
        FinishedCall finished = answer.finished();
        finished.answer()
                .ifPresent(any -> ingress.answeredRequests().onAnswered(fingerprint, nowNanos));
        long latencyNanos = nowNanos - attempt.sentNanos();
        NodeId node = attempt.target().node();
        state.onEnded(node, attemptResultOf(finished), latencyNanos, nowNanos);
        if (finished.answer().isPresent()) {
            if (attemptResultOf(finished) == AttemptResult.SUCCEEDED) {
                state.onSuccess(latencyNanos);
            }
            hedgesWon = attempt.hedge() ? 1 : 0;
            logAnswered(attempt, finished);
            end(finished);
            return;
        }
        excluded.add(node);
        if (!finished.error().equals(Optional.of(ErrorCode.GUARD_BUSY))) {
            unusable.add(node);
        }
        if (finished.outcome() == Outcome.UNKNOWN) {
            unknownResult = Optional.of(finished);
        }
        if (hasReachedTarget(finished)) {
            targetsReached++;
            reached.add(node);
        }
        if (openAttempts.isEmpty()) {
            retryOrEnd(attempt, finished, nowNanos);
        } else if (openAttempts.size() == 1 && request.idempotent()) {
            // After a refused hedge, the first attempt may still be slow.
            hedgeAfter(SLOWNESS_CHECK_NANOS);
        }
    }

    private void logAnswered(OpenAttempt attempt, FinishedCall finished) {
        int status = finished.answer().orElseThrow().status();
        int sent = targetsReached + openAttempts.size() + 1;
        log.onAnswered(status, attempt.id().attempt(), attempt.target().node(), attemptsMade, sent);
    }

    private void retryOrEnd(OpenAttempt attempt, FinishedCall finished, long nowNanos) {
        boolean retry =
                mayReachAnotherTarget()
                        && hasUnreachedTarget(nowNanos)
                        && state.retries()
                                .shouldRetry(
                                        attemptsMade,
                                        finished.outcome(),
                                        finished.error().orElseThrow(),
                                        request.idempotent(),
                                        request.deadlineNanos() - nowNanos);
        if (retry) {
            ingress.metrics().onRetry();
            log.onRetried(
                    attempt.id().attempt(),
                    attempt.target().node(),
                    finished.error().orElseThrow());
            if (finished.outcome() == Outcome.NOT_RUN) {
                attemptsMade = state.retries().nextAttempt(attemptsMade, attempt.mayQueue());
            }
            runUnlessEnded(this::sendNextAttempt);
        } else {
            end(finished);
        }
    }

    private boolean mayReachAnotherTarget() {
        return targetsReached + openAttempts.size() < request.parameters().maxAttempts()
                && !state.isBlocked(fingerprint);
    }

    private boolean hasUnreachedTarget(long nowNanos) {
        state.refresh(ingress.routingTable(), nowNanos);
        return state.targets().stream().anyMatch(target -> !reached.contains(target.node()));
    }

    private static boolean hasReachedTarget(FinishedCall finished) {
        return finished.outcome() != Outcome.NOT_RUN
                || finished.error().equals(Optional.of(ErrorCode.TARGET_REFUSED));
    }

    private void scheduleHedge() {
        if (ended || !request.idempotent() || openAttempts.isEmpty()) {
            return;
        }
        OptionalLong delayNanos = state.hedges().delayNanos();
        NodeId current = openAttempts.values().iterator().next().target().node();
        if (state.reportsSpeed(current)) {
            hedgeAfter(SLOWNESS_CHECK_NANOS);
        } else if (delayNanos.isPresent()) {
            hedgeAfter(delayNanos.getAsLong());
        }
    }

    private void hedgeAfter(long delayNanos) {
        long delayMillis = Math.max(1, delayNanos / NANOS_PER_MILLI);
        vertx.cancelTimer(hedgeTimer);
        hedgeTimer = vertx.setTimer(delayMillis, ignored -> runUnlessEnded(this::hedge));
    }

    private void hedge() {
        if (ended || openAttempts.size() != 1 || !mayReachAnotherTarget()) {
            return;
        }
        long nowNanos = System.nanoTime();
        OpenAttempt first = openAttempts.values().iterator().next();
        NodeId current = first.target().node();
        // Work that started in a slow phase stays slow after the phase has ended.
        firstSlowdown = Math.max(firstSlowdown, state.slowdown(current, nowNanos));
        HedgeDecision decision = HedgeDecision.WAIT;
        Optional<RouteTarget> target = Optional.empty();
        if (HedgeDecision.isSlow(firstSlowdown)) {
            Set<NodeId> excludedNodes = new HashSet<>(excluded);
            excludedNodes.add(current);
            target = state.choose(excludedNodes, callNeeds(nowNanos), nowNanos);
            if (target.isPresent()) {
                decision =
                        state.decideHedge(
                                target.get().node(),
                                callNeeds(nowNanos),
                                nowNanos - first.sentNanos(),
                                firstSlowdown,
                                first.expectedWaitNanos(),
                                nowNanos);
            }
        }
        if (decision == HedgeDecision.WAIT) {
            boolean reported = state.reportsSpeed(current);
            hedgeAfter(reported ? SLOWNESS_CHECK_NANOS : state.hedges().recheckNanos());
        } else if (decision == HedgeDecision.SEND && state.hedges().tryHedge()) {
            ingress.metrics().onHedge();
            hedgesSent++;
            log.onHedged(current, target.get().node());
            send(target.get(), false, 0, nowNanos);
        }
    }

    // Rounds up, so that the timer does not fire before the deadline, while the caller still waits.
    private static long ceilMillis(long nanos) {
        return (nanos + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI;
    }

    private void onDeadline() {
        if (ended) {
            return;
        }
        if (!openAttempts.isEmpty()) {
            unknownResult = Optional.of(FinishedCall.unknown(ErrorCode.DEADLINE_EXCEEDED));
        }
        cancelOpenAttempts(AttemptResult.LOST);
        end(FinishedCall.notRun(ErrorCode.DEADLINE_TOO_SHORT));
    }

    /**
     * Ends the call. If there is no answer but an earlier attempt may have run, the call ends with
     * the unknown outcome of that attempt.
     */
    private void end(FinishedCall finished) {
        if (ended) {
            return;
        }
        ended = true;
        release();
        cancelOpenAttempts(AttemptResult.CANCELLED);
        boolean definite = finished.answer().isPresent() || unknownResult.isEmpty();
        FinishedCall result = definite ? finished : unknownResult.get();
        if (result.error().isPresent()) {
            log.onEndedWithoutAnswer(result, attemptsMade, state.candidateCount());
        }
        listener.accept(result);
    }

    private void cancelOpenAttempts(AttemptResult result) {
        long nowNanos = System.nanoTime();
        List<OpenAttempt> cancelled = List.copyOf(openAttempts.values());
        // The guard of this node answers a cancelled attempt immediately, and that answer must not
        // find the attempt open.
        openAttempts.clear();
        for (OpenAttempt attempt : cancelled) {
            ingress.sender().cancel(attempt.target(), attempt.id());
            NodeId node = attempt.target().node();
            state.onEnded(node, result, nowNanos - attempt.sentNanos(), nowNanos);
        }
    }

    private void release() {
        vertx.cancelTimer(deadlineTimer);
        vertx.cancelTimer(hedgeTimer);
        ingress.metrics().onHedgesEnded(hedgesWon, hedgesSent - hedgesWon);
    }

    private static AttemptResult attemptResultOf(FinishedCall finished) {
        return switch (finished.outcome()) {
            case ANSWERED ->
                    finished.answer().orElseThrow().status() >= SERVER_ERROR
                            ? AttemptResult.FAILED
                            : AttemptResult.SUCCEEDED;
            case NOT_RUN -> AttemptResult.REFUSED;
            case UNKNOWN -> AttemptResult.LOST;
        };
    }
}
