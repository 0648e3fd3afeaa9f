package org.dogwoodwood.node.http;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.Map;
import java.util.regex.Pattern;

/** Rejects joined heads and partial bodies, and tells whether the decoder is between responses. */
final class ResponseMessageHandler extends ChannelDuplexHandler {

    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [1-9][0-9]{2}( |$)");

    private boolean betweenResponses = true;
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
        if (endedAfterHead) {
            ReferenceCountUtil.release(message);
            return;
        }
        if (message instanceof HttpResponse response) {
            betweenResponses = false;
            interim = InterimResponses.isInterim(response.status().code());
            if (isJoined(response)) {
                ReferenceCountUtil.release(message);
                context.fireExceptionCaught(InvalidResponseException.joinedHeads());
                return;
            }
            if (headRequested && interim) {
                methodForgotten = true;
            } else if (methodForgotten) {
                endAfterHead(context, response);
                return;
            }
        }
        if (message instanceof LastHttpContent) {
            betweenResponses = true;
            if (!interim && isCutOff(context)) {
                // The end of the connection fails the request.
                ReferenceCountUtil.release(message);
                return;
            }
        }
        context.fireChannelRead(message);
    }

    /**
     * Ends the response to a HEAD request at its head. The decoder forgets the method of a request
     * at an interim response and would read a body, so the connection cannot be used again.
     */
    private void endAfterHead(ChannelHandlerContext context, HttpResponse response) {
        endedAfterHead = true;
        context.fireChannelRead(response);
        context.fireChannelRead(LastHttpContent.EMPTY_LAST_CONTENT);
    }

    /**
     * Returns whether a body without a length was ended by something else than the peer's orderly
     * close: by a close of this side, or by a reset that failed the writes of the request.
     */
    private boolean isCutOff(ChannelHandlerContext context) {
        return !context.channel().isActive() && (closedHere || !requestWritten);
    }

    /** Returns whether a status line stands inside the head, after a part of another head. */
    private static boolean isJoined(HttpResponse response) {
        if (containsStatusLine(response.status().reasonPhrase())) {
            return true;
        }
        for (Map.Entry<String, String> header : response.headers()) {
            if (containsStatusLine(header.getValue())) {
                return true;
            }
        }
        return false;
    }

    private static boolean containsStatusLine(String text) {
        return text.contains("HTTP/1.") && STATUS_LINE.matcher(text).find();
    }
}
