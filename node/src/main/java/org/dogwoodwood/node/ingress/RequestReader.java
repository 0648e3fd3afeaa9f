package org.dogwoodwood.node.ingress;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerRequest;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.dogwoodwood.codec.wire.RequestContent;
import org.dogwoodwood.core.DogwoodwoodException;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.core.configuration.Configuration;
import org.dogwoodwood.node.logging.EventLog;
import org.dogwoodwood.node.logging.LogEvent;
import org.dogwoodwood.node.memory.BodyMemory;
import org.dogwoodwood.node.memory.BodyReservation;

/** Validates the head of a request and reads its body within limits of size and time. */
final class RequestReader {

    private static final byte[] NO_BODY = {};
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final Vertx vertx;
    private final Supplier<Configuration> configuration;
    private final IngressLimits limits;
    private final EventLog log;
    private final CallerProtocol protocol;
    private final BodyMemory memory;

    RequestReader(
            Vertx vertx,
            Supplier<Configuration> configuration,
            IngressLimits limits,
            CallerProtocol protocol,
            BodyMemory memory,
            EventLog log) {
        this.vertx = vertx;
        this.configuration = configuration;
        this.limits = limits;
        this.protocol = protocol;
        this.memory = memory;
        this.log = log;
    }

    /**
     * Reads a request whose head has arrived.
     *
     * @param reservation holds the memory for the body; the caller releases it when the body is no
     *     longer needed
     * @return a future of the complete request; it fails with a {@link DogwoodwoodException} if the
     *     request is invalid, and the rest of its body is then unread
     */
    Future<IngressRequest> read(HttpServerRequest request, BodyReservation reservation) {
        long nowNanos = System.nanoTime();
        try {
            RequestHead head = RequestHead.of(request);
            checkFraming(head);
            CallParameters parameters = protocol.readHead(head, configuration.get());
            return readBody(request, reservation, parameters.service().maxRequestBytes())
                    .map(
                            body ->
                                    new IngressRequest(
                                            parameters,
                                            nowNanos,
                                            nowNanos + parameters.timeoutMillis() * NANOS_PER_MILLI,
                                            RequestContent.of(
                                                    request.method().name(),
                                                    parameters.path(),
                                                    parameters.headers(),
                                                    body)));
        } catch (DogwoodwoodException e) {
            return Future.failedFuture(e);
        }
    }

    /**
     * Reads an idempotent request without a body before it is dispatched.
     *
     * @return the request, or empty if it is not idempotent or is invalid; it is then read again
     *     when it is dispatched
     */
    Optional<IngressRequest> readPipelined(RequestHead head) {
        long nowNanos = System.nanoTime();
        try {
            checkFraming(head);
            CallParameters parameters = protocol.readHead(head, configuration.get());
            if (!parameters.idempotent()) {
                return Optional.empty();
            }
            return Optional.of(
                    new IngressRequest(
                            parameters,
                            nowNanos,
                            nowNanos + parameters.timeoutMillis() * NANOS_PER_MILLI,
                            RequestContent.of(
                                    head.method(),
                                    parameters.path(),
                                    parameters.headers(),
                                    NO_BODY)));
        } catch (DogwoodwoodException e) {
            // The refusal is logged and answered when the request is dispatched.
            return Optional.empty();
        }
    }

    private static void checkFraming(RequestHead request) {
        // Netty treats "chunked, identity" as chunked and "xchunked" as a request without a body.
        List<String> encodings = request.headers().getAll("Transfer-Encoding");
        boolean chunkedOnly =
                encodings.size() == 1 && encodings.get(0).trim().equalsIgnoreCase("chunked");
        if (!encodings.isEmpty() && !chunkedOnly) {
            throw badRequest("The only supported Transfer-Encoding is chunked.");
        }
        if (request.headers().getAll("Host").size() > 1) {
            throw badRequest("A request must not have more than one Host field.");
        }
        if (request.uri() == null || !request.uri().startsWith("/")) {
            throw badRequest("The request target must be a path.");
        }
        if (request.method().equals("CONNECT")) {
            // A successful answer to CONNECT has no body, whatever the target sends.
            throw badRequest("The method CONNECT is not supported.");
        }
    }

    private Future<byte[]> readBody(
            HttpServerRequest request, BodyReservation reservation, int maxRequestBytes) {
        RequestBody body =
                new RequestBody(reservation, Math.min(maxRequestBytes, memory.largestBodyBytes()));
        Promise<byte[]> promise = Promise.promise();
        reservation.startReceiving(() -> onDisplaced(request, body, promise));
        String length = request.getHeader("Content-Length");
        if (length != null) {
            runOrFail(promise, () -> body.expect(parseLong("Content-Length", length)));
        }
        long timer =
                vertx.setTimer(
                        limits.slowSenderMillis(),
                        ignored -> {
                            log.write(
                                    LogEvent.SLOW_SENDER,
                                    "caller",
                                    request.remoteAddress(),
                                    "received",
                                    body.length());
                            promise.tryFail(badRequest("The request was not sent in time."));
                        });
        request.handler(chunk -> runOrFail(promise, () -> body.append(chunk)));
        request.exceptionHandler(
                failure -> promise.tryFail(badRequest("The request body is malformed or broken.")));
        request.endHandler(ignored -> runOrFail(promise, () -> promise.complete(body.complete())));
        return promise.future()
                .onComplete(ignored -> vertx.cancelTimer(timer))
                .onFailure(
                        failure -> {
                            body.drop();
                            if (!reservation.isReleased()) {
                                logIfOverloaded(request, failure);
                            }
                        });
    }

    /** Refuses a request of which a part is missing, since others need the memory for its body. */
    private void onDisplaced(HttpServerRequest request, RequestBody body, Promise<byte[]> promise) {
        log.write(
                LogEvent.BODY_DISPLACED,
                "caller",
                request.remoteAddress(),
                "received",
                body.length(),
                "held",
                memory.heldBytes());
        promise.tryFail(
                new DogwoodwoodException(
                        ErrorCode.OVERLOADED,
                        "Others needed the memory while a part of the body was missing."));
    }

    /** Runs a step of reading a body, unless the reading has ended. */
    private static void runOrFail(Promise<byte[]> promise, Runnable step) {
        if (promise.future().isComplete()) {
            return;
        }
        try {
            step.run();
        } catch (DogwoodwoodException e) {
            promise.fail(e);
        }
    }

    private void logIfOverloaded(HttpServerRequest request, Throwable failure) {
        if (failure instanceof DogwoodwoodException refusal
                && refusal.code() == ErrorCode.OVERLOADED) {
            log.write(
                    LogEvent.BODY_MEMORY_USED_UP,
                    "from",
                    request.remoteAddress(),
                    "held",
                    memory.heldBytes(),
                    "limit",
                    memory.largestBodyBytes());
        }
    }

    static long parseLong(String name, String text) {
        try {
            return Long.parseLong(text.trim());
        } catch (NumberFormatException e) {
            throw badRequest(name + " must be a whole number.");
        }
    }

    static DogwoodwoodException badRequest(String message) {
        return new DogwoodwoodException(ErrorCode.BAD_REQUEST, message);
    }
}
