package org.dogwoodwood.node.ingress;

import static org.dogwoodwood.core.Preconditions.checkState;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpRequest;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.net.impl.ConnectionBase;
import java.util.function.Consumer;
import org.dogwoodwood.node.logging.EventLog;
import org.dogwoodwood.node.logging.LogEvent;

/**
 * Refuses requests whose framing two HTTP parsers could interpret differently.
 *
 * <p>Netty's decoder drops {@code Content-Length} when {@code Transfer-Encoding} is present, so
 * that no request handler can see both. Vert.x has no option to prevent this, so its decoder is
 * replaced in the pipeline of each HTTP/1 connection. This works only while clear-text HTTP/2 is
 * off for the port, since Vert.x otherwise calls the connection handler only after it has decoded
 * the first request.
 */
final class StrictFraming {

    private static final String DECODER_NAME = "httpDecoder";
    private static final int MIN_READ_BYTES = 512;
    private static final int INITIAL_READ_BYTES = 2 << 10;
    private static final int MAX_READ_BYTES = 16 << 10;

    private StrictFraming() {}

    /**
     * Replaces the decoder of a connection that has just been opened and from which nothing has
     * been read.
     */
    static void install(
            HttpConnection connection,
            HttpServerOptions options,
            IngressLimits limits,
            CallerConnection caller,
            Consumer<HttpRequest> headListener,
            EventLog log) {
        Channel channel = channelOf(connection);
        // The default of 64 KiB would be kept for each connection that sends a part of a line.
        channel.config()
                .setRecvByteBufAllocator(
                        new AdaptiveRecvByteBufAllocator(
                                MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES));
        ChannelPipeline pipeline = channel.pipeline();
        StrictRequestDecoder decoder =
                new StrictRequestDecoder(
                        options,
                        limits.slowSenderMillis(),
                        caller,
                        headListener,
                        () -> onSlowHead(connection, log));
        pipeline.replace(DECODER_NAME, DECODER_NAME, decoder);
    }

    /** Returns the channel of a connection of Vert.x. */
    static Channel channelOf(HttpConnection connection) {
        checkState(
                connection instanceof ConnectionBase,
                "Unsupported connection class of Vert.x; adapt StrictFraming to this version.");
        return ((ConnectionBase) connection).channel();
    }

    private static void onSlowHead(HttpConnection connection, EventLog log) {
        log.write(LogEvent.SLOW_SENDER, "caller", connection.remoteAddress(), "part", "head");
        connection.close();
    }
}
