package org.dogwoodwood.node.http;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.http.HttpConnection;
import java.util.Optional;

/**
 * Follows the exchanges of a connection, and drops responses that name another request than the one
 * that waits, so that a second copy of an earlier response costs no later request its connection.
 *
 * <p>HTTP/1.1 matches responses with requests by their order alone. Dropping one is safe only with
 * servers that repeat the id of the request in each response.
 */
final class ForeignResponseFilter extends ChannelDuplexHandler {

    /** The largest number of responses that are dropped before the one to a request arrives. */
    static final int MAX_DROPPED_RESPONSES = 16;

    private static final int MAX_DROPPED_BYTES = 1 << 20;

    private final HttpConnection connection;
    private final ExchangeState exchange;
    private final Optional<String> idHeader;
    private final ForeignResponseListener listener;
    // Null if no request waits, or if it has no id.
    private String waitingId;
    private boolean interim;
    private boolean dropping;
    private int droppedResponses;
    private int droppedBytes;

    /**
     * Creates a filter.
     *
     * @param idHeader the header field with the id in requests and responses, or empty if responses
     *     have none and are never dropped
     */
    ForeignResponseFilter(
            HttpConnection connection,
            ExchangeState exchange,
            Optional<String> idHeader,
            ForeignResponseListener listener) {
        this.connection = connection;
        this.exchange = exchange;
        this.idHeader = idHeader;
        this.listener = listener;
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise)
            throws Exception {
        if (message instanceof HttpRequest request) {
            onRequest(request);
        }
        super.write(context, message, promise);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        if (message instanceof HttpResponse response && isForeign(response)) {
            startDropping(response);
        }
        if (dropping) {
            drop(message);
            return;
        }
        if (message instanceof HttpResponse && exchange.hasEnded()) {
            // A request may have been written when the response ended, but these bytes came before.
            ReferenceCountUtil.release(message);
            context.fireExceptionCaught(InvalidResponseException.beforeRequest());
            return;
        }
        noteOwnResponse(message);
        super.channelRead(context, message);
    }

    private void onRequest(HttpRequest request) {
        exchange.onRequest();
        waitingId = idHeader.map(name -> request.headers().get(name)).orElse(null);
        droppedResponses = 0;
        droppedBytes = 0;
        if (request.method().equals(HttpMethod.HEAD)) {
            // The length of a response to HEAD does not tell where the response ends.
            exchange.stopDroppingForeignResponses();
        }
    }

    private boolean isForeign(HttpResponse response) {
        return exchange.isDroppingForeignResponses()
                && response.decoderResult().isSuccess()
                && answeredId(response).filter(id -> !id.equals(waitingId)).isPresent();
    }

    private Optional<String> answeredId(HttpResponse response) {
        return idHeader.map(name -> response.headers().get(name));
    }

    private void startDropping(HttpResponse response) {
        dropping = true;
        droppedResponses++;
        listener.onForeign(
                waitingId == null ? "" : waitingId,
                connection.localAddress().port(),
                response.status().code(),
                answeredId(response).orElseThrow());
    }

    private void drop(Object message) {
        boolean broken = false;
        if (message instanceof HttpContent content) {
            droppedBytes += content.content().readableBytes();
            broken = content.decoderResult().isFailure();
        }
        dropping = !(message instanceof LastHttpContent);
        ReferenceCountUtil.release(message);
        if (broken
                || droppedResponses > MAX_DROPPED_RESPONSES
                || droppedBytes > MAX_DROPPED_BYTES) {
            connection.close();
        }
    }

    private void noteOwnResponse(Object message) {
        if (message instanceof HttpResponse response) {
            interim = InterimResponses.isInterim(response.status().code());
        }
        if (message instanceof LastHttpContent && !interim) {
            waitingId = null;
            exchange.onEnd();
        }
    }
}
