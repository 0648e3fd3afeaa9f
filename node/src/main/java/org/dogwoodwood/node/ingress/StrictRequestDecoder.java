package org.dogwoodwood.node.ingress;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.util.AsciiString;
import io.netty.util.concurrent.Future;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.impl.VertxHttpRequestDecoder;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Refuses a request with both {@code Content-Length} and {@code Transfer-Encoding}, closes a
 * connection that takes too long to send the head of a request, and bounds what one connection
 * holds: Netty neither counts the empty lines before a head nor the objects that its lines become,
 * and decodes any number of requests before the first one is answered.
 */
final class StrictRequestDecoder extends VertxHttpRequestDecoder {

    private final int slowSenderMillis;
    private final int maxHeadBytes;
    private final CallerConnection connection;
    private final Consumer<HttpRequest> headListener;
    private final Runnable onSlowHead;
    private boolean expectsHead = true;
    private boolean refused;
    private Future<?> headTimer;

    StrictRequestDecoder(
            HttpServerOptions options,
            int slowSenderMillis,
            CallerConnection connection,
            Consumer<HttpRequest> headListener,
            Runnable onSlowHead) {
        super(options);
        this.slowSenderMillis = slowSenderMillis;
        // The decoder itself limits the request line and the fields, but no empty lines.
        this.maxHeadBytes = options.getMaxInitialLineLength() + options.getMaxHeaderSize();
        this.connection = connection;
        this.headListener = headListener;
        this.onSlowHead = onSlowHead;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) throws Exception {
        super.handlerAdded(context);
        connection.setAnswerListener(() -> continueLater(context));
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        super.channelRead(context, message);
        if (!connection.onUnread(actualReadableBytes())) {
            context.close().addListener(ChannelFutureListener.FIRE_EXCEPTION_ON_FAILURE);
        }
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out)
            throws Exception {
        if (refused) {
            buffer.skipBytes(buffer.readableBytes());
            return;
        }
        if (expectsHead && connection.isFull()) {
            return;
        }
        if (expectsHead && headTimer == null) {
            headTimer =
                    context.executor()
                            .schedule(onSlowHead, slowSenderMillis, TimeUnit.MILLISECONDS);
        }
        int before = out.size();
        int start = buffer.readerIndex();
        super.decode(context, buffer, out);
        boolean framing = expectsHead || out.size() == before;
        if (framing) {
            connection.onHeadBytes(buffer.readerIndex() - start);
        }
        for (Object message : out.subList(before, out.size())) {
            onMessage(message);
        }
        if (out.size() == before && connection.headBytes() > maxHeadBytes) {
            refuse(context, buffer, out);
        }
    }

    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        // The decoder turns an exception into a request with a failed decoder result.
        connection.onLine();
        return super.splitHeaderName(line, start, length);
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

    private void onMessage(Object message) {
        if (message instanceof HttpRequest head) {
            onHead(head);
            headListener.accept(head);
            expectsHead = false;
            cancelHeadTimer();
        } else {
            connection.onFramingDone();
        }
        if (message instanceof LastHttpContent) {
            expectsHead = true;
        }
    }

    private void onHead(HttpRequest head) {
        if (!connection.onHead() && head.decoderResult().isSuccess()) {
            head.setDecoderResult(DecoderResult.failure(CallerConnection.overloaded()));
            refused = true;
        }
    }

    /** Refuses a head with too many empty lines before it; closes on such framing of a body. */
    private void refuse(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) {
        refused = true;
        buffer.skipBytes(buffer.readableBytes());
        cancelHeadTimer();
        if (!expectsHead) {
            context.close().addListener(ChannelFutureListener.FIRE_EXCEPTION_ON_FAILURE);
            return;
        }
        HttpMessage invalid = createInvalidMessage();
        invalid.setDecoderResult(
                DecoderResult.failure(
                        new TooLongHttpHeaderException(
                                "The head has more than " + maxHeadBytes + " bytes.")));
        headListener.accept((HttpRequest) invalid);
        out.add(invalid);
    }

    /** Decodes requests that have arrived and were not decoded because there were too many. */
    private void continueLater(ChannelHandlerContext context) {
        if (actualReadableBytes() == 0) {
            return;
        }
        context.executor()
                .execute(
                        () -> {
                            if (!context.isRemoved() && context.channel().isActive()) {
                                context.pipeline().fireChannelRead(Unpooled.EMPTY_BUFFER);
                                context.pipeline().fireChannelReadComplete();
                            }
                        });
    }

    private void cancelHeadTimer() {
        if (headTimer != null) {
            headTimer.cancel(false);
            headTimer = null;
        }
    }
}
