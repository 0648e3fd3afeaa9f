package org.dogwoodwood.node.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;

/** Closes the connection on received bytes that belong to no request, ahead of the decoder. */
final class ResponseBytesHandler extends ChannelInboundHandlerAdapter {

    // The decoder skips empty lines between responses, but they complete a retained partial head.
    private static final byte[] EMPTY_LINES = "\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    private final ExchangeState exchange;
    private final ResponseMessageHandler messages;
    private final StatusLineCheck statusLine = new StatusLineCheck();
    private int headsBefore;

    ResponseBytesHandler(ExchangeState exchange, ResponseMessageHandler messages) {
        this.exchange = exchange;
        this.messages = messages;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object bytes) {
        boolean idle = !exchange.isWaiting();
        if (idle && !exchange.isDroppingForeignResponses()) {
            ReferenceCountUtil.release(bytes);
            close(context);
            return;
        }
        exchange.onRead();
        if (!hasValidStatus(bytes)) {
            ReferenceCountUtil.release(bytes);
            context.fireExceptionCaught(InvalidResponseException.statusLine());
            close(context);
            return;
        }
        context.fireChannelRead(bytes);
        if ((idle || exchange.hasEnded()) && context.channel().isActive()) {
            closeUnlessBetweenResponses(context);
        }
    }

    private boolean hasValidStatus(Object bytes) {
        if (!messages.isBetweenResponses()) {
            return true;
        }
        if (statusLine.isComplete() && messages.heads() != headsBefore) {
            statusLine.reset();
            headsBefore = messages.heads();
        }
        return !(bytes instanceof ByteBuf buffer) || statusLine.accept(buffer);
    }

    /** Nothing may have begun that would be continued by the answer to the next request. */
    private void closeUnlessBetweenResponses(ChannelHandlerContext context) {
        if (!messages.isBetweenResponses() || hasRetainedBytes(context)) {
            close(context);
        }
    }

    private boolean hasRetainedBytes(ChannelHandlerContext context) {
        messages.startCheck();
        context.fireChannelRead(Unpooled.copiedBuffer(EMPTY_LINES));
        return messages.endCheck();
    }

    private static void close(ChannelHandlerContext context) {
        context.close().addListener(ChannelFutureListener.FIRE_EXCEPTION_ON_FAILURE);
    }
}
