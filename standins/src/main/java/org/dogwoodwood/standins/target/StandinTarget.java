package org.dogwoodwood.standins.target;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonObject;
import java.util.Optional;

/** A stand-in target: an HTTP server on 127.0.0.1 that runs calls of one service. */
public final class StandinTarget {

    private static final String HOST = "127.0.0.1";
    private static final String CRASHED = "crashed";

    private final Vertx vertx;
    private final TargetOptions options;
    private final ExecutionCounter executions = new ExecutionCounter();
    private TargetFaults faults = TargetFaults.none();
    private TargetExecutor executor;
    private HttpServer server;
    private Optional<TargetAnnouncer> announcer = Optional.empty();
    private long incarnation;
    private boolean draining;
    private int port;
    private int crashes;

    private StandinTarget(Vertx vertx, TargetOptions options) {
        this.vertx = vertx;
        this.options = options;
    }

    /**
     * Starts a target.
     *
     * @param vertx the Vert.x instance, not null; the caller closes it
     * @param options the options, not null
     * @return the target once it is listening, or a failure if the port is in use
     */
    public static Future<StandinTarget> start(Vertx vertx, TargetOptions options) {
        StandinTarget target = new StandinTarget(vertx, options);
        return target.listen(options.port(), options.coldCalls()).map(target);
    }

    /** Stops the server and the announcements; the future completes when the port is free. */
    public Future<Void> stop() {
        announcer.ifPresent(TargetAnnouncer::stop);
        return server.close();
    }

    /** Returns the port that the target listens on, the same one after a crash. */
    public int port() {
        return port;
    }

    private Future<Void> listen(int listenPort, int coldCalls) {
        incarnation = Math.max(incarnation + 1, System.currentTimeMillis());
        draining = false;
        executor = new TargetExecutor(vertx, options, coldCalls, executions);
        server =
                vertx.createHttpServer(new HttpServerOptions().setIdleTimeout(0))
                        .requestHandler(this::onRequest);
        return server.listen(listenPort, HOST)
                .map(
                        listening -> {
                            port = listening.actualPort();
                            startAnnouncing();
                            return null;
                        });
    }

    private void startAnnouncing() {
        announcer =
                options.adminAddress()
                        .map(admin -> new TargetAnnouncer(vertx, admin, this::announcement));
        announcer.ifPresent(TargetAnnouncer::start);
    }

    private JsonObject announcement() {
        return new JsonObject()
                .put("service", options.service())
                .put("address", HOST + ":" + port)
                .put("slots", options.slots())
                .put("connections", options.connections())
                .put("cold_slots", options.coldSlots())
                .put("cold", executor.isCold())
                .put("draining", draining);
    }

    private void onRequest(HttpServerRequest request) {
        switch (request.path()) {
            case "/health" -> sendJson(request, isHealthy() ? 200 : 503, new JsonObject());
            case "/load" -> sendJson(request, 200, loadStatus());
            case "/executions" -> onExecutions(request);
            case "/control" -> request.body().onSuccess(body -> onControl(request, body));
            default -> request.body().onSuccess(body -> onCall(request, body));
        }
    }

    private boolean isHealthy() {
        return !faults.falseHealth();
    }

    private JsonObject loadStatus() {
        int inFlight = faults.falseInFlight() >= 0 ? faults.falseInFlight() : executor.running();
        return new JsonObject()
                .put("in_flight", inFlight)
                .put("slots", options.slots())
                .put("cold", executor.isCold())
                .put("draining", draining)
                .put("incarnation", incarnation);
    }

    private void onExecutions(HttpServerRequest request) {
        try {
            long from = Long.parseLong(request.getParam("from_ms", "0"));
            long to = Long.parseLong(request.getParam("to_ms", Long.toString(Long.MAX_VALUE)));
            boolean all = Boolean.parseBoolean(request.getParam("all", "false"));
            sendJson(request, 200, executions.toJson(from, to, all));
        } catch (NumberFormatException e) {
            sendJson(request, 400, errorBody("Give from_ms and to_ms as integers."));
        }
    }

    private void onControl(HttpServerRequest request, Buffer body) {
        if (request.method().equals(HttpMethod.POST)) {
            try {
                applyControl(new JsonObject(body));
            } catch (RuntimeException e) {
                sendJson(request, 400, errorBody("Send a JSON object with the documented types."));
                return;
            }
        }
        sendJson(request, 200, status());
    }

    private void applyControl(JsonObject change) {
        faults = faults.with(change);
        draining = change.getBoolean("draining", draining);
        if (change.containsKey("cold_calls")) {
            executor.resetColdStart(change.getInteger("cold_calls"));
        }
        // Announced at once only on request, so that a target can turn cold or drain without
        // warning.
        if (change.getBoolean("announce", false)) {
            announcer.ifPresent(TargetAnnouncer::announce);
        }
        if (change.getBoolean("crash", false)) {
            vertx.runOnContext(ignored -> crash());
        }
    }

    private JsonObject status() {
        return loadStatus()
                .put("waiting", executor.waiting())
                .put("max_running", executor.maxRunning())
                .put("max_running_cold", executor.maxRunningCold())
                .put("collapsed_calls", executor.collapsedCalls())
                .put("cancelled", executor.cancelled())
                .put("shed", executor.shed())
                .put("crashes", crashes)
                .put("announced", announcer.map(TargetAnnouncer::isAccepted).orElse(false));
    }

    private void onCall(HttpServerRequest request, Buffer body) {
        String text = body.toString();
        if (faults.failFast()) {
            sendJson(request, 500, errorBody("The target fails fast."));
        } else if (draining) {
            sendJson(request, 503, errorBody("The target is draining."));
        } else if (faults.crashes(text)) {
            executions.recordStart(
                    request.getHeader(TargetExecutor.CALL_ID),
                    request.getHeader(TargetExecutor.KEY),
                    System.currentTimeMillis());
            crash();
        } else if (!faults.unresponsive()) {
            executor.accept(request, text, faults.slowFactor());
        }
    }

    /**
     * Discards all state but the counted executions, and restarts cold with a new incarnation; ends
     * the process if the restart time is 0.
     */
    private void crash() {
        crashes++;
        if (options.restartMillis() == 0) {
            System.err.println(CRASHED);
            Runtime.getRuntime().halt(1);
        }
        announcer.ifPresent(TargetAnnouncer::stop);
        executor.discardCalls();
        int coldCalls = options.coldCalls();
        server.close()
                .onComplete(
                        closed ->
                                vertx.setTimer(
                                        options.restartMillis(), id -> listen(port, coldCalls)));
    }

    static void sendJson(HttpServerRequest request, int status, JsonObject body) {
        if (!request.response().closed() && !request.response().ended()) {
            request.response()
                    .setStatusCode(status)
                    .putHeader("Content-Type", "application/json")
                    .end(body.toBuffer());
        }
    }

    static JsonObject errorBody(String message) {
        return new JsonObject().put("error", message);
    }
}
