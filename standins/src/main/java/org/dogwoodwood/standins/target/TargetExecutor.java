package org.dogwoodwood.standins.target;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;

/**
 * Executes the calls of one incarnation of a target. Not thread-safe: confined to one event loop.
 */
final class TargetExecutor {

    static final String CALL_ID = "Dogwoodwood-Call-Id";
    static final String KEY = "Idempotency-Key";
    private static final String TIMEOUT = "Dogwoodwood-Timeout-Ms";
    private static final long DEFAULT_TIMEOUT_MILLIS = 60_000;

    private final Vertx vertx;
    private final TargetOptions options;
    private final ExecutionCounter executions;
    private final SlotQueue slots;
    private final ColdStart coldStart;
    private boolean discarded;
    private int maxRunningCold;
    private int collapsedCalls;
    private int cancelled;
    private int shed;

    TargetExecutor(Vertx vertx, TargetOptions options, int coldCalls, ExecutionCounter executions) {
        this.vertx = vertx;
        this.options = options;
        this.executions = executions;
        this.slots = new SlotQueue(options.slots(), options.connections());
        this.coldStart = new ColdStart(options.coldSlots(), coldCalls);
    }

    /** Runs a call as soon as a slot is free, or sheds it if too many calls wait. */
    void accept(HttpServerRequest request, String body, double slowFactor) {
        long now = System.currentTimeMillis();
        TargetCall call = new TargetCall(request, body, now + timeoutMillis(request));
        request.response().closeHandler(closed -> onClosed(call));
        if (!slots.offer(call)) {
            shed++;
            StandinTarget.sendJson(request, 503, StandinTarget.errorBody("The target sheds load."));
            return;
        }
        startCalls(slowFactor);
    }

    void resetColdStart(int calls) {
        coldStart.reset(calls);
    }

    /** Discards all running and waiting calls without a response. */
    void discardCalls() {
        discarded = true;
    }

    boolean isCold() {
        return coldStart.isCold();
    }

    int running() {
        return slots.running();
    }

    int waiting() {
        return slots.waiting();
    }

    int maxRunning() {
        return slots.maxRunning();
    }

    int maxRunningCold() {
        return maxRunningCold;
    }

    int collapsedCalls() {
        return collapsedCalls;
    }

    int cancelled() {
        return cancelled;
    }

    int shed() {
        return shed;
    }

    private void startCalls(double slowFactor) {
        slots.startNext()
                .ifPresent(
                        call -> {
                            start(call, slowFactor);
                            startCalls(slowFactor);
                        });
    }

    private void start(TargetCall call, double slowFactor) {
        if (call.isPastDeadline(System.currentTimeMillis())) {
            slots.release();
            call.state(TargetCall.State.FINISHED);
            StandinTarget.sendJson(
                    call.request(), 504, StandinTarget.errorBody("The deadline has passed."));
            return;
        }
        HttpServerRequest request = call.request();
        executions.recordStart(
                request.getHeader(CALL_ID), request.getHeader(KEY), System.currentTimeMillis());
        int running = slots.running();
        if (isCold()) {
            maxRunningCold = Math.max(maxRunningCold, running);
        }
        if (coldStart.isCollapsed(running)) {
            collapsedCalls++;
        }
        double millis = options.serviceTimeMillis() * slowFactor * coldStart.slowdown(running);
        vertx.setTimer(Math.max(1, Math.round(millis)), id -> finish(call, slowFactor));
    }

    private void finish(TargetCall call, double slowFactor) {
        if (discarded) {
            return;
        }
        coldStart.onFinished(slots.running());
        slots.release();
        if (call.state() == TargetCall.State.RUNNING) {
            call.state(TargetCall.State.FINISHED);
            answer(call);
        }
        startCalls(slowFactor);
    }

    private void answer(TargetCall call) {
        HttpServerRequest request = call.request();
        if (request.response().closed()) {
            return;
        }
        String path = request.path();
        String requestId = path.substring(path.lastIndexOf('/') + 1);
        int bytes = Integer.parseInt(request.getParam("bytes", "0"));
        request.response()
                .putHeader("Content-Type", "text/plain")
                .putHeader("Target-Service", options.service())
                .end(Buffer.buffer(TargetAnswers.bodyOf(requestId, bytes)));
    }

    /** Cancels a call whose connection closed before its answer. */
    private void onClosed(TargetCall call) {
        if (call.state() == TargetCall.State.WAITING || call.state() == TargetCall.State.RUNNING) {
            call.state(TargetCall.State.CANCELLED);
            cancelled++;
        }
    }

    private static long timeoutMillis(HttpServerRequest request) {
        try {
            return Long.parseLong(
                    request.headers().get(TIMEOUT) == null
                            ? Long.toString(DEFAULT_TIMEOUT_MILLIS)
                            : request.headers().get(TIMEOUT));
        } catch (NumberFormatException e) {
            return DEFAULT_TIMEOUT_MILLIS;
        }
    }
}
