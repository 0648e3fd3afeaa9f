package org.dogwoodwood.node.peer;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.dogwoodwood.codec.wire.AnswerFrame;
import org.dogwoodwood.codec.wire.CallFrame;
import org.dogwoodwood.codec.wire.CancelFrame;
import org.dogwoodwood.codec.wire.ControlFrame;
import org.dogwoodwood.codec.wire.Frame;
import org.dogwoodwood.codec.wire.HelloFrame;
import org.dogwoodwood.codec.wire.ResumeFrame;
import org.dogwoodwood.core.DogwoodwoodException;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.core.calls.AttemptId;
import org.dogwoodwood.core.model.LoadReport;
import org.dogwoodwood.core.model.NodeId;
import org.dogwoodwood.node.logging.LogEvent;
import org.dogwoodwood.node.settings.Endpoint;

/**
 * The pending attempts and control exchanges with one peer, and its current connection.
 *
 * <p>When the connection breaks, attempts that were never written were not run; the others are
 * resumed on a new connection, or their outcome is unknown if the peer has restarted.
 */
final class PeerChannel implements PeerLink.Owner {

    // Delay between reconnects while non-idempotent attempts are to be resumed.
    private static final long RECONNECT_DELAY_MILLIS = 100;
    private static final int MAX_RECONNECTS = 10;
    private static final double ROUND_TRIP_WEIGHT = 0.2;

    // Longer than it takes to detect a silent connection and to open a new one.
    private static final long CANCEL_RETENTION_NANOS = 2_000_000_000L;

    private final PeerPool pool;
    private final Endpoint endpoint;
    private final Map<AttemptId, PendingAttempt> pending = new LinkedHashMap<>();
    private final Map<Long, Promise<ControlFrame>> exchanges = new HashMap<>();
    private final Map<Long, ControlFrame> unsentExchanges = new LinkedHashMap<>();
    // Recent cancels are sent again on the next connection, since the connection that they were
    // sent on may have been silent.
    private final Deque<SentCancel> recentCancels = new ArrayDeque<>();
    private PeerLink link;
    private long nextRequestNumber = 1;
    private int reconnects;
    private boolean reconnectScheduled;
    private long roundTripNanos = PeerPool.DEFAULT_ROUND_TRIP_NANOS;
    private long lastUsedNanos = System.nanoTime();

    PeerChannel(PeerPool pool, Endpoint endpoint) {
        this.pool = pool;
        this.endpoint = endpoint;
    }

    Future<AttemptAnswer> call(NodeId guard, CallFrame frame) {
        lastUsedNanos = System.nanoTime();
        PendingAttempt attempt = new PendingAttempt(guard, frame);
        pending.put(frame.id(), attempt);
        if (link != null && link.isReady()) {
            write(attempt);
        } else {
            connect();
        }
        return attempt.future();
    }

    void cancel(AttemptId id) {
        PendingAttempt attempt = pending.remove(id);
        if (attempt == null || !attempt.isWritten()) {
            return;
        }
        removeExpiredCancels();
        recentCancels.add(new SentCancel(id, System.nanoTime()));
        if (link != null && link.isReady()) {
            link.send(CancelFrame.of(id));
        } else {
            connect();
        }
    }

    Future<ControlFrame> exchange(ControlFrame request, long timeoutMillis) {
        lastUsedNanos = System.nanoTime();
        long number = nextRequestNumber++;
        Promise<ControlFrame> promise = Promise.promise();
        exchanges.put(number, promise);
        long timer =
                pool.vertx()
                        .setTimer(
                                timeoutMillis,
                                ignored -> failExchange(number, "No answer came in time."));
        ControlFrame numbered = request.withRequestNumber(number);
        if (link != null && link.isReady()) {
            sendExchange(numbered);
        } else {
            unsentExchanges.put(number, numbered);
            connect();
        }
        return promise.future().onComplete(ignored -> pool.vertx().cancelTimer(timer));
    }

    /** Requests a load report from the peer, on a new connection if there is none. */
    void requestReport() {
        lastUsedNanos = System.nanoTime();
        if (link != null && link.isReady()) {
            link.ping();
        } else {
            connect();
        }
    }

    long roundTripNanos() {
        return roundTripNanos;
    }

    /** Returns whether nothing is pending and the channel was not used for the given time. */
    boolean isIdle(long nowNanos, long idleNanos) {
        return pending.isEmpty() && exchanges.isEmpty() && nowNanos - lastUsedNanos > idleNanos;
    }

    /** Checks the connection; called once per ping interval. */
    void tick() {
        if (link != null) {
            link.tick();
        }
    }

    void close() {
        if (link != null) {
            link.close();
        }
    }

    @Override
    public void onReady(PeerLink ready, HelloFrame hello) {
        reconnects = 0;
        int resumed = 0;
        int restarted = 0;
        for (PendingAttempt attempt : List.copyOf(pending.values())) {
            if (!pending.containsKey(attempt.frame().id())) {
                // Cancelled when an attempt before it ended.
                continue;
            }
            if (!attempt.isWritten()) {
                write(attempt);
            } else if (attempt.isAddressedTo(hello)) {
                ready.send(ResumeFrame.of(attempt.frame().id(), hello.incarnation()));
                resumed++;
            } else {
                finish(attempt, AttemptAnswer.unknown(ErrorCode.OUTCOME_UNKNOWN));
                restarted++;
            }
        }
        if (resumed > 0) {
            pool.log().write(LogEvent.CALLS_RESUMED, "peer", endpoint, "calls", resumed);
        }
        if (restarted > 0) {
            pool.log().write(LogEvent.PEER_RESTARTED, "peer", endpoint, "calls", restarted);
        }
        removeExpiredCancels();
        recentCancels.forEach(cancel -> ready.send(CancelFrame.of(cancel.id())));
        List<ControlFrame> unsent = List.copyOf(unsentExchanges.values());
        unsentExchanges.clear();
        unsent.forEach(this::sendExchange);
        ready.ping();
    }

    @Override
    public void onFrame(PeerLink source, Frame frame) {
        if (frame instanceof AnswerFrame answer) {
            answer.report().ifPresent(pool::onReport);
            PendingAttempt attempt = pending.get(answer.id());
            if (attempt == null) {
                pool.onLateAnswer();
            } else {
                finish(attempt, AttemptAnswer.of(answer.finished(), answer.report()));
            }
        } else if (frame instanceof ControlFrame control && control.isReply()) {
            Promise<ControlFrame> promise = exchanges.remove(control.requestNumber());
            if (promise != null) {
                promise.tryComplete(control);
            }
        } else {
            pool.log()
                    .write(
                            LogEvent.PEER_REFUSED,
                            "peer",
                            endpoint,
                            "reason",
                            "A frame of type " + frame.type() + " is not a reply.");
            source.close();
        }
    }

    @Override
    public void onPong(long measuredNanos, Optional<LoadReport> report) {
        roundTripNanos += Math.round(ROUND_TRIP_WEIGHT * (double) (measuredNanos - roundTripNanos));
        report.ifPresent(pool::onReport);
    }

    @Override
    public void onReport(LoadReport report) {
        pool.onReport(report);
    }

    @Override
    public boolean isBusy() {
        removeExpiredCancels();
        return !pending.isEmpty() || !exchanges.isEmpty() || !recentCancels.isEmpty();
    }

    @Override
    public void onClosed(PeerLink closed) {
        link = null;
        for (Long number : List.copyOf(exchanges.keySet())) {
            failExchange(number, "The connection to the peer broke.");
        }
        removeExpiredCancels();
        boolean resume = !recentCancels.isEmpty();
        for (PendingAttempt attempt : List.copyOf(pending.values())) {
            if (!attempt.isWritten()) {
                finish(attempt, AttemptAnswer.notRun(ErrorCode.NO_TARGET));
            } else if (reconnects >= reconnectLimit(attempt)) {
                finish(attempt, AttemptAnswer.unknown(ErrorCode.OUTCOME_UNKNOWN));
            } else {
                resume = true;
            }
        }
        if (resume) {
            scheduleReconnect();
        }
    }

    // An idempotent call is retried at another target rather than resumed at a peer that cannot be
    // reached at once.
    private static int reconnectLimit(PendingAttempt attempt) {
        return attempt.frame().idempotent() ? 1 : MAX_RECONNECTS;
    }

    private void connect() {
        if (link == null) {
            link =
                    new PeerLink(
                            pool.vertx(),
                            endpoint,
                            pool.identity(),
                            pool.timings(),
                            pool.memory(),
                            pool.sentFrames(),
                            pool.log(),
                            this);
            link.open(pool.client());
        }
    }

    private void scheduleReconnect() {
        if (reconnectScheduled) {
            return;
        }
        reconnects++;
        if (reconnects == 1) {
            connect();
            return;
        }
        reconnectScheduled = true;
        pool.vertx()
                .setTimer(
                        RECONNECT_DELAY_MILLIS,
                        ignored -> {
                            reconnectScheduled = false;
                            if (!pending.isEmpty() || !recentCancels.isEmpty()) {
                                connect();
                            }
                        });
    }

    private void write(PendingAttempt attempt) {
        try {
            link.send(attempt.frameToSend());
            attempt.markWritten();
        } catch (DogwoodwoodException e) {
            finish(attempt, AttemptAnswer.notRun(ErrorCode.REQUEST_TOO_LARGE));
        }
    }

    private void sendExchange(ControlFrame request) {
        try {
            link.send(request);
        } catch (DogwoodwoodException e) {
            failExchange(request.requestNumber(), e.getMessage());
        }
    }

    private void failExchange(long number, String message) {
        unsentExchanges.remove(number);
        Promise<ControlFrame> promise = exchanges.remove(number);
        if (promise != null) {
            promise.tryFail(message);
        }
    }

    private void removeExpiredCancels() {
        long nowNanos = System.nanoTime();
        while (!recentCancels.isEmpty()
                && nowNanos - recentCancels.getFirst().sentNanos() > CANCEL_RETENTION_NANOS) {
            recentCancels.removeFirst();
        }
    }

    private void finish(PendingAttempt attempt, AttemptAnswer answer) {
        pending.remove(attempt.frame().id());
        attempt.complete(answer);
    }

    private record SentCancel(AttemptId id, long sentNanos) {}
}
