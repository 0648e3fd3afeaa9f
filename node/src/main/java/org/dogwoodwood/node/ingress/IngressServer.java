package org.dogwoodwood.node.ingress;

import io.netty.handler.codec.TooLongFrameException;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpVersion;
import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.dogwoodwood.core.DogwoodwoodException;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.core.calls.FinishedCall;
import org.dogwoodwood.core.model.TargetAnswer;
import org.dogwoodwood.node.http.AnswerWriter;
import org.dogwoodwood.node.logging.EventLog;
import org.dogwoodwood.node.logging.LogEvent;
import org.dogwoodwood.node.memory.AcceptLimit;
import org.dogwoodwood.node.memory.BodyMemory;
import org.dogwoodwood.node.memory.BodyReservation;
import org.dogwoodwood.node.metrics.NodeMetrics;
import org.dogwoodwood.node.settings.Endpoint;

/** The HTTP server for callers; used on the traffic loop only. */
public final class IngressServer {

    private static final int MAX_INITIAL_LINE_BYTES = 16 << 10;

    // Above the slow-sender limit; a connection that waits for an answer is not closed as idle.
    private static final int IDLE_MARGIN_SECONDS = 30;

    private final Vertx vertx;
    private final Ingress ingress;
    private final IngressLimits limits;
    private final CallerProtocol protocol;
    private final BodyMemory memory;
    private final NodeMetrics metrics;
    private final EventLog log;
    private final RequestReader reader;
    private final CallerConnections connections;
    private final EarlyCalls earlyCalls = new EarlyCalls();
    private final Promise<Void> idle = Promise.promise();
    private final List<HttpServer> servers = new ArrayList<>();
    private final IdentityHashMap<HttpConnection, RequestPipeline> pipelines =
            new IdentityHashMap<>();
    private int pending;
    private boolean draining;
    private OptionalLong latestDeadlineNanos = OptionalLong.empty();
    private boolean refusing;

    private IngressServer(
            Vertx vertx,
            Ingress ingress,
            IngressLimits limits,
            CallerProtocol protocol,
            BodyMemory memory,
            NodeMetrics metrics,
            EventLog log) {
        this.vertx = Objects.requireNonNull(vertx, "vertx");
        this.ingress = Objects.requireNonNull(ingress, "ingress");
        this.limits = Objects.requireNonNull(limits, "limits");
        this.protocol = Objects.requireNonNull(protocol, "protocol");
        this.memory = Objects.requireNonNull(memory, "memory");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
        this.log = Objects.requireNonNull(log, "log");
        this.connections = CallerConnections.create(limits.connections(), log).withGauges(metrics);
        this.reader =
                new RequestReader(
                        vertx,
                        () -> ingress.routingTable().configuration(),
                        limits,
                        protocol,
                        memory,
                        log);
    }

    /** Returns a server for the calls of the given ingress. */
    public static IngressServer create(
            Vertx vertx,
            Ingress ingress,
            IngressLimits limits,
            CallerProtocol protocol,
            BodyMemory memory,
            NodeMetrics metrics,
            EventLog log) {
        return new IngressServer(vertx, ingress, limits, protocol, memory, metrics, log);
    }

    /**
     * Listens for HTTP/1.1; must be called on the traffic loop, again if it fails.
     *
     * @param endpoint the address of the callers' port, not null
     * @return the port in use
     */
    public Future<Integer> start(Endpoint endpoint) {
        HttpServerOptions options = options().setHttp2ClearTextEnabled(false);
        AcceptLimit port = connections.newAcceptLimit();
        HttpServer server = vertx.createHttpServer(options);
        server.connectionHandler(
                connection -> {
                    CallerConnection caller = connections.add(connection, port);
                    RequestPipeline pipeline =
                            new RequestPipeline(
                                    this::startPipelined, earlyCalls, caller::onAnswered);
                    pipelines.put(connection, pipeline);
                    StrictFraming.install(
                            connection, options, limits, caller, pipeline::onHead, log);
                    connection.closeHandler(
                            ignored -> {
                                pipelines.remove(connection);
                                pipeline.onClosed();
                                connections.remove(connection);
                            });
                });
        server.requestHandler(this::onHttp1Request);
        return listen(server, endpoint);
    }

    /**
     * Listens for clear-text HTTP/2 with prior knowledge; must be called on the traffic loop.
     * HTTP/2 has a separate port because the framing of HTTP/1 cannot be checked on a port that
     * accepts both.
     *
     * @param endpoint the address of the port, not null
     * @return the port in use
     */
    public Future<Integer> startHttp2(Endpoint endpoint) {
        HttpServerOptions options = options().setHttp2ClearTextEnabled(true);
        options.getInitialSettings()
                .setMaxHeaderListSize(limits.maxHeaderBytes())
                .setMaxConcurrentStreams(CallerConnection.MAX_UNANSWERED);
        AcceptLimit port = connections.newAcceptLimit();
        HttpServer server = vertx.createHttpServer(options);
        server.connectionHandler(
                connection -> {
                    connections.add(connection, port).reserveHead(limits.maxHeaderBytes());
                    connection.closeHandler(ignored -> connections.remove(connection));
                });
        server.requestHandler(
                request -> {
                    if (request.version() == HttpVersion.HTTP_2) {
                        serveHttp2(request);
                    } else {
                        String reason = "The port is for HTTP/2 with prior knowledge.";
                        refuse(request, ErrorCode.BAD_REQUEST, reason, reason);
                    }
                });
        return listen(server, endpoint);
    }

    /**
     * Starts to send {@code Connection: close} with HTTP/1 answers, so that callers use other
     * connections. Requests are still served.
     *
     * @return a future that completes when no request is pending
     */
    public Future<Void> drain() {
        draining = true;
        completeIfIdle();
        return idle.future();
    }

    /**
     * Refuses new requests whose deadline is later than the given time, since the node may stop
     * before their answers arrive. A refused request is not run.
     *
     * @param deadlineNanos the latest deadline that is accepted, on the monotonic clock, in
     *     nanoseconds
     */
    public void refuseDeadlinesAfter(long deadlineNanos) {
        latestDeadlineNanos = OptionalLong.of(deadlineNanos);
    }

    /** Refuses new requests without running them, while requests in progress are still served. */
    public void refuseNewRequests() {
        refusing = true;
    }

    /** Closes the ports. */
    public Future<Void> stop() {
        return Future.all(servers.stream().map(HttpServer::close).toList()).mapEmpty();
    }

    /** Returns the number of requests that have not been answered. */
    public int pending() {
        return pending;
    }

    private void onHttp1Request(HttpServerRequest request) {
        RequestPipeline pipeline = pipelines.get(request.connection());
        if (pipeline == null || pipeline.isClosing()) {
            // The caller has disconnected or will send the request on another connection.
            return;
        }
        if (pipeline.isNext(request.headers())) {
            serve(request, pipeline, pipeline.onDispatched());
        } else {
            closeOutOfOrder(request, pipeline);
        }
    }

    // Any answer on this connection could be taken for the answer to another request.
    private void closeOutOfOrder(HttpServerRequest request, RequestPipeline pipeline) {
        log.write(
                LogEvent.REQUEST_OUT_OF_ORDER,
                "caller",
                request.remoteAddress(),
                "dispatched",
                request.method() + " " + request.uri(),
                "decoded",
                pipeline.describeNext());
        pipeline.onClosed();
        request.connection().close();
    }

    private void serve(
            HttpServerRequest request,
            RequestPipeline pipeline,
            Optional<PipelinedCall> pipelined) {
        pending++;
        PendingRequest pendingRequest = new PendingRequest(request, pipeline);
        request.response().closeHandler(ignored -> pendingRequest.onClosed());
        request.response().endHandler(ignored -> pendingRequest.onClosed());
        if (pipelined.isPresent()) {
            pendingRequest.onStarted(pipelined.get());
        } else {
            reader.read(request, pendingRequest.bodyReservation)
                    .onSuccess(pendingRequest::onRead)
                    .onFailure(pendingRequest::onRefused);
        }
    }

    private boolean mayOutlastStop(IngressRequest request) {
        return latestDeadlineNanos.isPresent()
                && request.deadlineNanos() - latestDeadlineNanos.getAsLong() > 0;
    }

    private static DogwoodwoodException nodeStopping() {
        return new DogwoodwoodException(ErrorCode.NODE_STOPPING, "This node is stopping.");
    }

    // HTTP/2 has a stream for each request, so its requests do not wait for earlier answers.
    private void serveHttp2(HttpServerRequest request) {
        CallerConnection caller = connections.get(request.connection());
        if (caller == null) {
            return;
        }
        if (caller.onHead()) {
            RequestPipeline pipeline =
                    new RequestPipeline(head -> Optional.empty(), earlyCalls, caller::onAnswered);
            serve(request, pipeline, Optional.empty());
        } else {
            onInvalidRequest(request, CallerConnection.overloaded());
        }
    }

    private Optional<PipelinedCall> startPipelined(RequestHead head) {
        return draining
                ? Optional.empty()
                : reader.readPipelined(head).map(request -> PipelinedCall.start(ingress, request));
    }

    private void onInvalidRequest(HttpServerRequest request) {
        RequestPipeline pipeline = pipelines.get(request.connection());
        if (pipeline != null && pipeline.hasEarlierRequests()) {
            // The refusal would be taken for the answer to an earlier request, which may have run.
            request.connection().close();
        } else {
            onInvalidRequest(request, request.decoderResult().cause());
        }
    }

    private void onInvalidRequest(HttpServerRequest request, Throwable cause) {
        String reason = cause == null ? "malformed" : cause.getMessage();
        if (cause instanceof DogwoodwoodException refused) {
            refuse(request, refused.code(), AnswerWriter.detailOf(refused), reason);
        } else if (cause instanceof TooLongFrameException) {
            refuse(request, ErrorCode.HEAD_TOO_LARGE, "The head exceeds a limit.", reason);
        } else {
            refuse(request, ErrorCode.BAD_REQUEST, "The request breaks HTTP.", reason);
        }
    }

    /** Refuses a request whose head cannot be read to its end and closes its connection. */
    private void refuse(HttpServerRequest request, ErrorCode code, String detail, String reason) {
        log.write(LogEvent.REQUEST_REFUSED, "caller", request.remoteAddress(), "reason", reason);
        request.response().putHeader("Connection", "close");
        metrics.onIngressError(code);
        protocol.writeError(request, code, detail)
                .onComplete(ignored -> request.connection().close());
    }

    private HttpServerOptions options() {
        int idleSeconds = limits.maxTimeoutMillis() / 1_000 + IDLE_MARGIN_SECONDS;
        return new HttpServerOptions()
                .setMaxHeaderSize(limits.maxHeaderBytes())
                .setMaxInitialLineLength(MAX_INITIAL_LINE_BYTES)
                .setTcpNoDelay(true)
                .setIdleTimeout(idleSeconds)
                .setIdleTimeoutUnit(TimeUnit.SECONDS);
    }

    private Future<Integer> listen(HttpServer server, Endpoint endpoint) {
        server.invalidRequestHandler(this::onInvalidRequest);
        server.exceptionHandler(
                failure -> log.write(LogEvent.REQUEST_REFUSED, "reason", String.valueOf(failure)));
        return server.listen(endpoint.port(), endpoint.host())
                .onSuccess(servers::add)
                .map(HttpServer::actualPort);
    }

    private void completeIfIdle() {
        if (draining && pending == 0) {
            idle.tryComplete();
        }
    }

    /** The state of a request until its answer has been written or its connection has closed. */
    private final class PendingRequest {

        private final HttpServerRequest request;
        private final RequestPipeline pipeline;
        private final BodyReservation bodyReservation = memory.reservation();
        private long arrivedNanos = System.nanoTime();
        private SubmittedCall call;
        private boolean answered;
        private boolean closed;

        PendingRequest(HttpServerRequest request, RequestPipeline pipeline) {
            this.request = request;
            this.pipeline = pipeline;
        }

        void onStarted(PipelinedCall pipelined) {
            arrivedNanos = pipelined.request().arrivedNanos();
            call = pipelined.call();
            pipelined.onEnd(finished -> onFinished(pipelined.request(), finished));
        }

        void onRead(IngressRequest read) {
            if (closed) {
                return;
            }
            // Not refused before the body has been read, since that closes the connection and the
            // caller might not receive the refusal.
            if (refusing || mayOutlastStop(read)) {
                onRefused(nodeStopping());
                return;
            }
            call = SubmittedCall.submit(ingress, read, result -> onFinished(read, result));
        }

        void onRefused(Throwable failure) {
            ErrorCode code = ErrorCode.BAD_REQUEST;
            String detail = "The request cannot be read.";
            if (failure instanceof DogwoodwoodException refused) {
                code = refused.code();
                detail = AnswerWriter.detailOf(refused);
            } else {
                log.write(LogEvent.HANDLER_FAILED, "message", String.valueOf(failure));
            }
            answered = true;
            metrics.onIngressError(code);
            if (failure instanceof UnknownKeyException unknown) {
                onUnknownKey(unknown);
            }
            bodyReservation.release();
            boolean unread = !request.isEnded();
            boolean isHttp1 = request.version() != HttpVersion.HTTP_2;
            // The rest of the body would be parsed as the next request. While draining, the
            // connection stays open for requests that arrived after this one.
            boolean closing = unread || (draining && !pipeline.hasUndispatchedRequests());
            if (closing && isHttp1) {
                request.response().putHeader("Connection", "close");
            }
            if (unread) {
                pipeline.onClosing();
            }
            Future<Void> written = protocol.writeError(request, code, detail);
            if (unread && isHttp1) {
                LingeringClose.start(vertx, request, written);
            } else if (unread) {
                written.onComplete(ignored -> request.response().reset());
            }
        }

        private void onUnknownKey(UnknownKeyException unknown) {
            metrics.onKeyRefused();
            log.write(
                    LogEvent.KEY_REFUSED,
                    "caller",
                    request.remoteAddress(),
                    "route",
                    unknown.route(),
                    "digest",
                    unknown.digest(),
                    "account",
                    unknown.account());
        }

        private void onFinished(IngressRequest read, SubmittedCall.Result result) {
            answered = true;
            FinishedCall finished = result.finished();
            int status;
            if (finished.answer().isPresent()) {
                status = writeAnswer(finished.answer().get());
            } else if (result.refusal().isPresent()) {
                status = writeQuotaRefusal(result.refusal().get());
            } else {
                status = writeRefusal(read, finished.error().orElseThrow());
            }
            metrics.onAnswered(
                    read.service().name(),
                    read.callClass(),
                    status,
                    System.nanoTime() - arrivedNanos);
            read.account().ifPresent(metrics::onAccountRequest);
        }

        private int writeAnswer(TargetAnswer answer) {
            closeIfDraining();
            try {
                protocol.writeAnswer(request, answer);
                return answer.status();
            } catch (IllegalArgumentException e) {
                // A header field violates HTTP. The head is validated before any of it is written.
                log.write(LogEvent.HANDLER_FAILED, "message", String.valueOf(e));
                request.response().headers().clear();
                return writeError(ErrorCode.TARGET_FAILED, "The target's answer breaks HTTP.");
            }
        }

        private int writeRefusal(IngressRequest read, ErrorCode error) {
            ErrorCode code = callerError(error);
            String detail = "The call ended without an answer.";
            if (!code.hasRetryAfter()) {
                return writeError(code, detail);
            }
            closeIfDraining();
            metrics.onIngressError(code);
            protocol.writeError(request, code, detail, ingress.retryAfterNanos(read));
            return code.httpStatus();
        }

        private int writeError(ErrorCode code, String detail) {
            closeIfDraining();
            metrics.onIngressError(code);
            protocol.writeError(request, code, detail);
            return code.httpStatus();
        }

        private static ErrorCode callerError(ErrorCode error) {
            // GUARD_BUSY describes a single guard, which does not help the caller: all guards are
            // busy.
            return error == ErrorCode.GUARD_BUSY ? ErrorCode.OVERLOADED : error;
        }

        private int writeQuotaRefusal(QuotaRefusal refusal) {
            closeIfDraining();
            metrics.onIngressError(ErrorCode.QUOTA_EXCEEDED);
            protocol.writeError(
                    request, ErrorCode.QUOTA_EXCEEDED, refusal.detail(), refusal.retryAfterNanos());
            return ErrorCode.QUOTA_EXCEEDED.httpStatus();
        }

        private void closeIfDraining() {
            if (draining
                    && !pipeline.hasUndispatchedRequests()
                    && request.version() != HttpVersion.HTTP_2) {
                request.response().putHeader("Connection", "close");
            }
        }

        void onClosed() {
            if (closed) {
                return;
            }
            closed = true;
            pending--;
            bodyReservation.release();
            pipeline.onAnswerWritten();
            if (!answered && call != null) {
                metrics.onCancelled();
                call.cancel();
            }
            completeIfIdle();
        }
    }
}
