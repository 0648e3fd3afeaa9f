package org.dogwoodwood.node.ingress;

import io.netty.handler.codec.http.HttpRequest;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.function.Function;

/**
 * The calls of one HTTP/1 connection whose caller sends requests before earlier ones are answered.
 *
 * <p>Vert.x dispatches such a request only when the answers before it are written. The calls of
 * idempotent requests start as soon as they are decoded, so that a slow answer does not delay the
 * work of those behind it; only their answers wait.
 */
final class RequestPipeline {

    /** Bounds the work that one connection can start at a time. */
    private static final int MAX_PIPELINED_CALLS = 16;

    private final Function<RequestHead, Optional<PipelinedCall>> starter;
    private final Deque<Optional<PipelinedCall>> undispatched = new ArrayDeque<>();
    private int unanswered;

    /**
     * Creates the calls of a connection that has read nothing.
     *
     * @param starter starts the call of a request, or returns empty if it has to wait
     */
    RequestPipeline(Function<RequestHead, Optional<PipelinedCall>> starter) {
        this.starter = starter;
    }

    /** Takes in that the head of a request was decoded. */
    void onHead(HttpRequest request) {
        boolean mustWait = unanswered > 0 && undispatched.size() < MAX_PIPELINED_CALLS;
        unanswered++;
        undispatched.add(
                mustWait && request.decoderResult().isSuccess()
                        ? RequestHead.of(request).filter(RequestHead::hasNoBody).flatMap(starter)
                        : Optional.empty());
    }

    /** Takes in that the next request was dispatched, and returns its call if it has started. */
    Optional<PipelinedCall> onDispatched() {
        Optional<PipelinedCall> next = undispatched.poll();
        return next == null ? Optional.empty() : next;
    }

    /** Takes in that the answer to a request was written. */
    void onAnswerWritten() {
        unanswered--;
    }

    /** Returns whether a call has started whose request is not dispatched. */
    boolean hasUndispatchedCalls() {
        return undispatched.stream().anyMatch(Optional::isPresent);
    }

    /** Ends the calls whose caller has disconnected before their requests were dispatched. */
    void onClosed() {
        undispatched.forEach(early -> early.ifPresent(started -> started.call().cancel()));
        undispatched.clear();
    }
}
