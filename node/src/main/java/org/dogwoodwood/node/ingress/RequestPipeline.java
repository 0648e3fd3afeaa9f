package org.dogwoodwood.node.ingress;

import io.netty.handler.codec.http.HttpRequest;
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
 */
final class RequestPipeline {

    /** Limits the concurrent work that one connection can start. */
    private static final int MAX_PIPELINED_CALLS = 16;

    private final Function<RequestHead, Optional<PipelinedCall>> starter;
    private final Deque<Optional<PipelinedCall>> undispatched = new ArrayDeque<>();
    private int unanswered;

    /**
     * Creates the pipeline of a connection from which nothing has been read.
     *
     * @param starter starts the call of a request, or returns empty if the call must wait until the
     *     request is dispatched
     */
    RequestPipeline(Function<RequestHead, Optional<PipelinedCall>> starter) {
        this.starter = starter;
    }

    /**
     * Records that the head of a request was decoded, and starts its call if it may start early.
     */
    void onHead(HttpRequest request) {
        boolean mayStartEarly = unanswered > 0 && undispatched.size() < MAX_PIPELINED_CALLS;
        unanswered++;
        undispatched.add(
                mayStartEarly && request.decoderResult().isSuccess()
                        ? RequestHead.of(request).filter(RequestHead::hasNoBody).flatMap(starter)
                        : Optional.empty());
    }

    /** Records that the next request was dispatched, and returns its call if it has started. */
    Optional<PipelinedCall> onDispatched() {
        Optional<PipelinedCall> next = undispatched.poll();
        return next == null ? Optional.empty() : next;
    }

    /** Records that the answer to a request was written. */
    void onAnswerWritten() {
        unanswered--;
    }

    /** Returns whether a call has started whose request has not been dispatched yet. */
    boolean hasUndispatchedCalls() {
        return undispatched.stream().anyMatch(Optional::isPresent);
    }

    /** Cancels the calls whose requests were not dispatched before the caller disconnected. */
    void onClosed() {
        undispatched.forEach(call -> call.ifPresent(started -> started.call().cancel()));
        undispatched.clear();
    }
}
