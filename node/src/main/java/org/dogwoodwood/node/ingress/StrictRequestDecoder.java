package org.dogwoodwood.node.ingress;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.impl.VertxHttpRequestDecoder;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Refuses a request with both {@code Content-Length} and {@code Transfer-Encoding}, and closes a
 * connection that takes too long to send the head of a request.
 */
final class StrictRequestDecoder extends VertxHttpRequestDecoder {

    private final int slowSenderMillis;
    private final Consumer<HttpRequest> headListener;
    private final Runnable onSlowHead;
    private boolean expectsHead = true;
    private Future<?> headTimer;

    StrictRequestDecoder(
            HttpServerOptions options,
            int slowSenderMillis,
            Consumer<HttpRequest> headListener,
            Runnable onSlowHead) {
        super(options);
        this.slowSenderMillis = slowSenderMillis;
        this.headListener = headListener;
        this.onSlowHead = onSlowHead;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out)
            throws Exception {
        if (expectsHead && headTimer == null) {
            headTimer =
                    context.executor()
                            .schedule(onSlowHead, slowSenderMillis, TimeUnit.MILLISECONDS);
        }
        int before = out.size();
        super.decode(context, buffer, out);
        for (Object message : out.subList(before, out.size())) {
            if (message instanceof HttpRequest head) {
                headListener.accept(head);
                expectsHead = false;
                cancelHeadTimer();
            }
            if (message instanceof LastHttpContent) {
                expectsHead = true;
            }
        }
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        // The decoder turns this into a request with a failed decoder result.
        throw new IllegalArgumentException("Content-Length and Transfer-Encoding are both present");
    }

    @Override
    protected void handlerRemoved0(ChannelHandlerContext context) throws Exception {
        cancelHeadTimer();
        super.handlerRemoved0(context);
    }

    private void cancelHeadTimer() {
        if (headTimer != null) {
            headTimer.cancel(false);
            headTimer = null;
        }
    }
}
