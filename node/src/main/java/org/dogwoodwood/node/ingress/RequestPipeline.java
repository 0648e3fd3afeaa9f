package org.dogwoodwood.node.ingress;

import io.netty.handler.codec.http.HttpRequest;
import io.vertx.core.MultiMap;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.function.Function;

/**
 * The requests of one HTTP/1 connection whose caller sends requests before earlier ones are
 * answered.
 *
 * <p>Vert.x dispatches such a request only when the answers to the earlier ones have been written.
 * The call of an idempotent request starts as soon as the request is decoded, so that a slow answer
 * does not delay the work of later requests; only their answers wait.
 *
 * <p>Requests are dispatched in the order in which they are decoded. Since a caller would otherwise
 * get the answer to another request, {@link #isNext} checks this for each of them.
 */
final class RequestPipeline {

    /** Limits the concurrent work that one connection can start. */
    private static final int MAX_PIPELINED_CALLS = 16;

    private final Function<RequestHead, Optional<PipelinedCall>> starter;
    private final EarlyCalls earlyCalls;
    private final Runnable answerListener;
    private final Deque<DecodedRequest> undispatched = new ArrayDeque<>();
    private int unanswered;
    private boolean closing;

    /**
     * Creates the pipeline of a connection from which nothing has been read.
     *
     * @param starter starts the call of a request, or returns empty if the call must wait until the
     *     request is dispatched
     * @param earlyCalls counts the calls that start early on all connections
     * @param answerListener called after each answer
     */
    RequestPipeline(
            Function<RequestHead, Optional<PipelinedCall>> starter,
            EarlyCalls earlyCalls,
            Runnable answerListener) {
        this.starter = starter;
        this.earlyCalls = earlyCalls;
        this.answerListener = answerListener;
    }

    /**
     * Records that the head of a request was decoded, and starts its call if it may start early.
     */
    void onHead(HttpRequest request) {
        boolean mayStartEarly =
                unanswered > 0 && undispatched.size() < MAX_PIPELINED_CALLS && earlyCalls.hasRoom();
        unanswered++;
        Optional<PipelinedCall> call =
                mayStartEarly && request.decoderResult().isSuccess()
                        ? RequestHead.of(request).filter(RequestHead::hasNoBody).flatMap(starter)
                        : Optional.empty();
        call.ifPresent(started -> earlyCalls.onStarted());
        undispatched.add(new DecodedRequest(request, call));
    }

    /**
     * Returns whether a dispatched request is the first decoded one that was not dispatched yet.
     *
     * @param headers the header fields of the dispatched request, which Vert.x takes over from the
     *     decoder without copying them
     */
    boolean isNext(MultiMap headers) {
        DecodedRequest next = undispatched.peek();
        return next != null && next.hasHeaders(headers);
    }

    /** Returns method and path of the request that must be dispatched next, for the log. */
    String describeNext() {
        DecodedRequest next = undispatched.peek();
        return next == null ? "none" : next.request().method() + " " + next.request().uri();
    }

    /** Records that the next request was dispatched, and returns its call if it has started. */
    Optional<PipelinedCall> onDispatched() {
        Optional<PipelinedCall> call = undispatched.remove().call();
        call.ifPresent(started -> earlyCalls.onDispatchedOrCancelled());
        return call;
    }

    /** Records that the answer to a request was written. */
    void onAnswerWritten() {
        unanswered--;
        answerListener.run();
    }

    /** Records that the connection closes after the current answer. */
    void onClosing() {
        closing = true;
    }

    /** Returns whether the connection is closing, so that no later request may be served. */
    boolean isClosing() {
        return closing;
    }

    /** Returns whether requests before the last decoded one have not been answered. */
    boolean hasEarlierRequests() {
        return unanswered > 1;
    }

    /** Returns whether a decoded request has not been dispatched yet. */
    boolean hasUndispatchedRequests() {
        return !undispatched.isEmpty();
    }

    /** Cancels the calls whose requests were not dispatched before the caller disconnected. */
    void onClosed() {
        for (DecodedRequest request : undispatched) {
            request.cancel();
            request.call().ifPresent(started -> earlyCalls.onDispatchedOrCancelled());
        }
        undispatched.clear();
    }

    /**
     * A decoded request that was not dispatched yet.
     *
     * @param request the request as it was decoded
     * @param call its call if it has started
     */
    private record DecodedRequest(HttpRequest request, Optional<PipelinedCall> call) {

        boolean hasHeaders(Object headers) {
            return request.headers() == headers;
        }

        void cancel() {
            call.ifPresent(started -> started.call().cancel());
        }
    }
}
