package org.dogwoodwood.node.guard;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.net.ConnectException;
import java.util.List;
import java.util.function.Consumer;
import org.dogwoodwood.codec.wire.CallFrame;
import org.dogwoodwood.core.model.HeaderField;
import org.dogwoodwood.node.http.BoundedHttpClient;
import org.dogwoodwood.node.http.ResponseFraming;
import org.dogwoodwood.node.logging.EventLog;
import org.dogwoodwood.node.loop.ReadFirstQueue;
import org.dogwoodwood.node.metrics.NodeMetrics;
import org.dogwoodwood.node.settings.Endpoint;

/**
 * HTTP client of one target, with a connection pool for calls and one connection for polls.
 *
 * <p>Each request is sent once; see {@link SentRequests}.
 */
final class TargetClient {

    private static final int CONNECT_TIMEOUT_MILLIS = 500;
    private static final int POLL_TIMEOUT_MILLIS = 1_000;
    private static final int MAX_POLL_BYTES = 64 << 10;

    // Idle connections are closed here first if the target keeps them longer than this, so that
    // the target never closes a connection on which a call is being sent.
    private static final int KEEP_ALIVE_SECONDS = 10;

    private static final int MAX_HEADER_BYTES = 64 << 10;

    private final Vertx vertx;
    private final TargetProtocol protocol;
    private final Endpoint address;
    private final TargetAnswerLog answerLog;
    private final HttpClient callClient;
    private final BoundedHttpClient pollClient;
    private final ReadFirstQueue startQueue;
    private final SentRequests sentRequests;

    private TargetClient(
            Vertx vertx,
            TargetProtocol protocol,
            Endpoint address,
            int connections,
            SentRequests sentRequests,
            TargetAnswerLog answerLog) {
        this.vertx = vertx;
        this.protocol = protocol;
        this.address = address;
        this.sentRequests = sentRequests;
        this.answerLog = answerLog;
        int callConnections = callConnections(connections);
        this.callClient =
                vertx.httpClientBuilder()
                        .with(options())
                        .with(new PoolOptions().setHttp1MaxSize(callConnections))
                        .withConnectHandler(this::onConnected)
                        .build();
        this.pollClient = BoundedHttpClient.create(vertx, options(), 1, MAX_POLL_BYTES);
        this.startQueue = ReadFirstQueue.create(vertx);
    }

    static TargetClient create(
            Vertx vertx,
            TargetProtocol protocol,
            Endpoint address,
            int connections,
            SentRequests sentRequests,
            EventLog log,
            NodeMetrics metrics) {
        TargetAnswerLog answerLog = new TargetAnswerLog(address, log, metrics);
        return new TargetClient(vertx, protocol, address, connections, sentRequests, answerLog);
    }

    /**
     * Returns how many calls can be sent at a time.
     *
     * @param connections the number of connections that the target accepts
     */
    static int callConnections(int connections) {
        // One of the target's connections is reserved for polls.
        return Math.max(1, connections - 1);
    }

    TargetExchange send(
            CallFrame frame,
            List<HeaderField> extraHeaders,
            int maxAnswerBytes,
            long timeoutMillis,
            Consumer<TargetResult> listener) {
        String requestId = requestId(frame);
        TargetExchange exchange =
                new TargetExchange(
                        vertx,
                        startQueue,
                        protocol,
                        frame,
                        extraHeaders,
                        maxAnswerBytes,
                        requestId,
                        sentRequests,
                        answerLog,
                        listener);
        exchange.start(callClient, requestOptions(), timeoutMillis);
        return exchange;
    }

    /** Polls a path; the future fails if the complete answer does not arrive in time. */
    Future<PollAnswer> poll(String path) {
        RequestOptions options = requestOptions().setMethod(HttpMethod.GET).setURI(path);
        return pollClient
                .send(options, Buffer.buffer(), POLL_TIMEOUT_MILLIS)
                .map(
                        answer ->
                                new PollAnswer(
                                        answer.status(),
                                        answer.headers(),
                                        answer.body().toString()))
                .onFailure(this::onFailedPoll);
    }

    void close() {
        callClient.close();
        pollClient.close();
    }

    private void onConnected(HttpConnection connection) {
        ResponseFraming.install(connection, protocol.requestIdHeader(), answerLog::onForeign);
    }

    private String requestId(CallFrame frame) {
        return protocol.requestIdOf(frame).orElseGet(() -> frame.id().call().toString());
    }

    private void onFailedPoll(Throwable failure) {
        if (!(failure instanceof ConnectException)) {
            answerLog.onFailedPoll(failure);
        }
    }

    private RequestOptions requestOptions() {
        return new RequestOptions().setHost(address.host()).setPort(address.port());
    }

    private static HttpClientOptions options() {
        return new HttpClientOptions()
                .setConnectTimeout(CONNECT_TIMEOUT_MILLIS)
                .setKeepAliveTimeout(KEEP_ALIVE_SECONDS)
                .setMaxHeaderSize(MAX_HEADER_BYTES)
                .setTcpNoDelay(true);
    }
}
