package org.dogwoodwood.node.ingress;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.util.Objects;

/**
 * Closes the HTTP/1 connection of a request that was answered before its body had been read. The
 * rest of the body is read and dropped first, since TCP resets a connection that is closed with
 * unread bytes, and the reset may discard the answer before the caller has read it.
 */
final class LingeringClose {

    private static final int MAX_MILLIS = 2_000;
    private static final int MAX_DROPPED_BYTES = 64 << 20;

    private final HttpServerRequest request;
    private final Promise<Void> ended = Promise.promise();
    private long droppedBytes;

    private LingeringClose(HttpServerRequest request) {
        this.request = Objects.requireNonNull(request, "request");
    }

    /**
     * Reads the rest of a request, within limits of size and time, and closes its connection.
     *
     * @param written completes when the answer has been written
     */
    static void start(Vertx vertx, HttpServerRequest request, Future<Void> written) {
        LingeringClose close = new LingeringClose(request);
        long timer = vertx.setTimer(MAX_MILLIS, ignored -> close.ended.tryComplete());
        request.handler(close::onChunk);
        request.endHandler(ignored -> close.ended.tryComplete());
        request.exceptionHandler(ignored -> close.ended.tryComplete());
        Future.join(written, close.ended.future())
                .onComplete(
                        ignored -> {
                            vertx.cancelTimer(timer);
                            request.connection().close();
                        });
    }

    private void onChunk(Buffer chunk) {
        droppedBytes += chunk.length();
        if (droppedBytes > MAX_DROPPED_BYTES) {
            request.pause();
            ended.tryComplete();
        }
    }
}
