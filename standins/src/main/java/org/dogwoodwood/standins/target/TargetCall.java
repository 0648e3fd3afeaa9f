package org.dogwoodwood.standins.target;

import io.vertx.core.http.HttpServerRequest;

/** A call received by the target: waiting for a slot, running, cancelled or finished. */
final class TargetCall {

    private final HttpServerRequest request;
    private final String body;
    private final long deadlineMillis;
    private State state = State.WAITING;

    TargetCall(HttpServerRequest request, String body, long deadlineMillis) {
        this.request = request;
        this.body = body;
        this.deadlineMillis = deadlineMillis;
    }

    HttpServerRequest request() {
        return request;
    }

    String body() {
        return body;
    }

    boolean isPastDeadline(long nowMillis) {
        return nowMillis > deadlineMillis;
    }

    State state() {
        return state;
    }

    void state(State newState) {
        state = newState;
    }

    enum State {
        WAITING,
        RUNNING,
        CANCELLED,
        FINISHED
    }
}
