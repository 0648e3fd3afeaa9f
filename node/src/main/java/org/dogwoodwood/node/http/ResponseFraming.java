package org.dogwoodwood.node.http;

import static org.dogwoodwood.core.Preconditions.checkState;

import io.netty.channel.ChannelPipeline;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.net.impl.ConnectionBase;
import java.util.Optional;

/**
 * Prevents responses that consist of parts of two, and partial bodies that count as whole.
 *
 * <p>Netty's decoder retains an incomplete head until more bytes arrive. The beginning of a second
 * copy of an answer would therefore become the beginning of the next answer, whose status would be
 * that of the copy; Vert.x notices only complete heads without a request. So the connection is
 * closed on bytes that belong to no request. A whole response that names another request than the
 * waiting one is dropped instead.
 *
 * <p>The decoder completes a body without a length at each end of the connection. Only an orderly
 * close by the peer completes it here.
 */
public final class ResponseFraming {

    private static final String CODEC_NAME = "codec";
    private static final String VERTX_HANDLER_NAME = "handler";

    private ResponseFraming() {}

    /**
     * Installs the checks on a connection that has just been opened, to a server whose responses do
     * not name their request.
     *
     * @param connection an HTTP/1 connection of a Vert.x client, not null
     */
    public static void install(HttpConnection connection) {
        install(connection, Optional.empty(), (waitingId, port, status, answeredId) -> {});
    }

    /**
     * Installs the checks on a connection that has just been opened.
     *
     * @param connection an HTTP/1 connection of a Vert.x client, not null
     * @param idHeader the header field with the id of a request, which the server repeats in its
     *     responses, or empty if it does not
     * @param listener is told of responses to other requests, which are dropped, not null
     */
    public static void install(
            HttpConnection connection,
            Optional<String> idHeader,
            ForeignResponseListener listener) {
        checkState(
                connection instanceof ConnectionBase,
                "Unsupported connection class of Vert.x; adapt ResponseFraming to this version.");
        ChannelPipeline pipeline = ((ConnectionBase) connection).channel().pipeline();
        ExchangeState exchange = new ExchangeState(idHeader.isPresent());
        ResponseMessageHandler messages = new ResponseMessageHandler();
        ForeignResponseFilter filter =
                new ForeignResponseFilter(connection, exchange, idHeader, listener);
        pipeline.addBefore(CODEC_NAME, null, new ResponseBytesHandler(exchange, messages));
        pipeline.addBefore(VERTX_HANDLER_NAME, null, messages);
        pipeline.addBefore(VERTX_HANDLER_NAME, null, filter);
    }
}
