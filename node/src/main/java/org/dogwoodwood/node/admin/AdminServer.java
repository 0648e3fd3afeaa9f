package org.dogwoodwood.node.admin;

import io.vertx.core.AsyncResult;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.dogwoodwood.core.DogwoodwoodException;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.node.ingress.LimitedPort;
import org.dogwoodwood.node.logging.EventLog;
import org.dogwoodwood.node.logging.LogEvent;
import org.dogwoodwood.node.settings.Endpoint;

/** The HTTP server of the admin port. */
public final class AdminServer {

    /** The header with the shared secret, required unless the request comes from loopback. */
    public static final String SECRET_HEADER = "Dogwoodwood-Secret";

    private static final int MAX_BODY_BYTES = 256 << 10;
    private static final int INTERNAL_ERROR = 500;

    private final Vertx vertx;
    private final AdminRouter router;
    private final Optional<String> sharedSecret;
    private final EventLog log;
    private HttpServer server;
    private Context context;

    private AdminServer(
            Vertx vertx, AdminRouter router, Optional<String> sharedSecret, EventLog log) {
        this.vertx = Objects.requireNonNull(vertx, "vertx");
        this.router = Objects.requireNonNull(router, "router");
        this.sharedSecret = Objects.requireNonNull(sharedSecret, "sharedSecret");
        this.log = Objects.requireNonNull(log, "log");
    }

    /**
     * Returns a server for the given routes.
     *
     * @param sharedSecret the secret that requests from other hosts must carry, empty to refuse all
     *     of them
     */
    public static AdminServer create(
            Vertx vertx, AdminRouter router, Optional<String> sharedSecret, EventLog log) {
        return new AdminServer(vertx, router, sharedSecret, log);
    }

    /** Starts to listen, on the event loop of the calling context, and returns the actual port. */
    public Future<Integer> start(Endpoint endpoint) {
        context = vertx.getOrCreateContext();
        server = LimitedPort.create(vertx, this::onRequest, log);
        return server.listen(endpoint.port(), endpoint.host()).map(HttpServer::actualPort);
    }

    /** Closes the port. */
    public Future<Void> stop() {
        return server == null ? Future.succeededFuture() : server.close();
    }

    private void onRequest(HttpServerRequest request) {
        if (!isAllowed(request)) {
            log.write(LogEvent.ADMIN_REFUSED, "caller", request.remoteAddress());
            respond(
                    request,
                    AdminResponse.error(
                            ErrorCode.SECRET_MISMATCH,
                            "The admin port requires the shared secret."));
            return;
        }
        AdminRouter.Match match = router.match(request.method().name(), request.path());
        if (match.errorResponse().isPresent()) {
            respond(request, match.errorResponse().get());
            return;
        }
        readBody(request, match.route().orElseThrow());
    }

    private void readBody(HttpServerRequest request, AdminRouter.Route route) {
        Buffer body = Buffer.buffer();
        request.handler(
                chunk -> {
                    if (body.length() <= MAX_BODY_BYTES) {
                        body.appendBuffer(chunk);
                    }
                });
        request.endHandler(
                ignored -> {
                    if (body.length() > MAX_BODY_BYTES) {
                        String message = "The body exceeds " + MAX_BODY_BYTES + " bytes.";
                        respond(request, AdminResponse.error(ErrorCode.REQUEST_TOO_LARGE, message));
                        return;
                    }
                    AdminRequest adminRequest =
                            new AdminRequest(
                                    request.method().name(),
                                    request.path(),
                                    route.valueIn(request.path()),
                                    queryOf(request),
                                    body.toString(StandardCharsets.UTF_8));
                    invokeHandler(route, adminRequest)
                            .onComplete(
                                    result ->
                                            context.runOnContext(
                                                    nothing -> onHandlerResult(request, result)));
                });
    }

    private static Map<String, String> queryOf(HttpServerRequest request) {
        Map<String, String> query = new HashMap<>();
        for (Map.Entry<String, String> entry : request.params()) {
            query.putIfAbsent(entry.getKey(), entry.getValue());
        }
        return query;
    }

    private static Future<AdminResponse> invokeHandler(
            AdminRouter.Route route, AdminRequest request) {
        try {
            return route.handler().handle(request);
        } catch (RuntimeException e) {
            return Future.failedFuture(e);
        }
    }

    private void onHandlerResult(HttpServerRequest request, AsyncResult<AdminResponse> result) {
        if (result.succeeded()) {
            respond(request, result.result());
        } else if (result.cause() instanceof DogwoodwoodException e) {
            respond(request, AdminResponse.error(e.code(), e.getMessage()));
        } else {
            log.write(LogEvent.HANDLER_FAILED, "message", String.valueOf(result.cause()));
            respond(
                    request,
                    AdminResponse.text(
                            INTERNAL_ERROR, "An unexpected error occurred; see the log."));
        }
    }

    private static void respond(HttpServerRequest request, AdminResponse response) {
        if (request.response().closed()) {
            return;
        }
        request.response()
                .setStatusCode(response.status())
                .putHeader("Content-Type", response.contentType())
                .end(response.body());
    }

    private boolean isAllowed(HttpServerRequest request) {
        SocketAddress remote = request.remoteAddress();
        boolean local =
                remote != null
                        && remote.hostAddress() != null
                        && Endpoint.of(remote.hostAddress(), 0).isLoopback();
        if (local) {
            return true;
        }
        String presented = request.getHeader(SECRET_HEADER);
        return sharedSecret.isPresent()
                && presented != null
                && equalsInConstantTime(presented, sharedSecret.get());
    }

    private static boolean equalsInConstantTime(String presented, String expected) {
        return MessageDigest.isEqual(
                presented.getBytes(StandardCharsets.UTF_8),
                expected.getBytes(StandardCharsets.UTF_8));
    }
}
