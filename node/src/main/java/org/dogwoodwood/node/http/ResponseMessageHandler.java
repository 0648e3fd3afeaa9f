package org.dogwoodwood.node.http;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.Optional;

/** Rejects invalid heads and partial bodies, and tells whether the decoder is between responses. */
final class ResponseMessageHandler extends ChannelDuplexHandler {

    private boolean betweenResponses = true;
    private int heads;
    private boolean requestWritten;
    private boolean headRequested;
    private boolean methodForgotten;
    private boolean endedAfterHead;
    private boolean closedHere;
    private boolean interim;
    private boolean checking;
    private boolean foundMessage;

    /** Returns whether no response has begun and not ended. */
    boolean isBetweenResponses() {
        return betweenResponses;
    }

    /** Returns how many heads the decoder has yielded. */
    int heads() {
        return heads;
    }

    /** Starts a check of the decoder; messages that it yields now are dropped. */
    void startCheck() {
        checking = true;
        foundMessage = false;
    }

    /** Ends the check; returns whether the decoder has yielded a message. */
    boolean endCheck() {
        checking = false;
        return foundMessage;
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise)
            throws Exception {
        if (message instanceof HttpRequest request) {
            requestWritten = false;
            headRequested = request.method().equals(HttpMethod.HEAD);
        }
        if (message instanceof LastHttpContent) {
            ChannelPromise written = promise.unvoid();
            written.addListener(result -> requestWritten = result.isSuccess());
            super.write(context, message, written);
        } else {
            super.write(context, message, promise);
        }
    }

    @Override
    public void close(ChannelHandlerContext context, ChannelPromise promise) throws Exception {
        closedHere = true;
        super.close(context, promise);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (checking) {
            foundMessage = true;
            ReferenceCountUtil.release(message);
            return;
        }
        boolean passed = !endedAfterHead;
        if (passed && message instanceof HttpResponse response) {
            passed = onHead(context, response);
        }
        if (passed && message instanceof LastHttpContent) {
            passed = onEnd(context);
        }
        if (passed) {
            context.fireChannelRead(message);
        } else {
            ReferenceCountUtil.release(message);
        }
    }

    /** Returns whether the head may be passed on as it is. */
    private boolean onHead(ChannelHandlerContext context, HttpResponse response) {
        betweenResponses = false;
        heads++;
        interim = InterimResponses.isInterim(response.status().code());
        Optional<InvalidResponseException> fault = ResponseHeadCheck.faultOf(response);
        if (fault.isPresent()) {
            context.fireExceptionCaught(fault.get());
            return false;
        }
        if (methodForgotten && !interim) {
            endAfterHead(context, response);
            return false;
        }
        methodForgotten |= headRequested && interim;
        return true;
    }

    /** Returns whether the end belongs to a whole response; if not, the request fails. */
    private boolean onEnd(ChannelHandlerContext context) {
        betweenResponses = true;
        return interim || !isCutOff(context);
    }

    /**
     * Ends the response to a HEAD request at its head. The decoder forgets the method of a request
     * at an interim response and would read a body, so the connection cannot be used again.
     */
    private void endAfterHead(ChannelHandlerContext context, HttpResponse response) {
        endedAfterHead = true;
        context.fireChannelRead(ReferenceCountUtil.retain(response));
        context.fireChannelRead(LastHttpContent.EMPTY_LAST_CONTENT);
    }

    /**
     * Returns whether a body without a length was ended by something else than the peer's orderly
     * close: by a close of this side, or by a reset that failed the writes of the request.
     */
    private boolean isCutOff(ChannelHandlerContext context) {
        return !context.channel().isActive() && (closedHere || !requestWritten);
    }
}
