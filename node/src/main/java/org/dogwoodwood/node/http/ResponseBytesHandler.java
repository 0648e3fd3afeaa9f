package org.dogwoodwood.node.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import org.dogwoodwood.node.http.ResponseMessageHandler.State;

/** Closes the connection on received bytes that belong to no request, ahead of the decoder. */
final class ResponseBytesHandler extends ChannelInboundHandlerAdapter {

    // The decoder skips empty lines between responses, but they complete a retained partial head.
    private static final byte[] EMPTY_LINES = "\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    private final ResponseMessageHandler messages;

    ResponseBytesHandler(ResponseMessageHandler messages) {
        this.messages = messages;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object bytes) {
        if (messages.state() == State.IDLE) {
            ReferenceCountUtil.release(bytes);
            close(context);
            return;
        }
        messages.onRead();
        context.fireChannelRead(bytes);
        if (messages.hasEndedResponse() && context.channel().isActive()) {
            closeOnRetainedBytes(context);
        }
    }

    private void closeOnRetainedBytes(ChannelHandlerContext context) {
        messages.startCheck();
        context.fireChannelRead(Unpooled.copiedBuffer(EMPTY_LINES));
        if (messages.endCheck()) {
            close(context);
        }
    }

    private static void close(ChannelHandlerContext context) {
        context.close().addListener(ChannelFutureListener.FIRE_EXCEPTION_ON_FAILURE);
    }
}
