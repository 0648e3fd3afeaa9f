package org.dogwoodwood.node.support;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.dogwoodwood.node.settings.Endpoint;

/** A target whose paths have faults: /echo, /slow, /big, /break, /fail, /held and /never. */
public final class TestTarget {

    private final Vertx vertx;
    private final AtomicInteger started = new AtomicInteger();
    private final AtomicInteger aborted = new AtomicInteger();
    private final AtomicInteger working = new AtomicInteger();
    private final AtomicInteger maxInFlight = new AtomicInteger();
    private final List<String> seen = new CopyOnWriteArrayList<>();
    private final List<HttpServerResponse> heldResponses = new CopyOnWriteArrayList<>();
    private final List<HttpConnection> connections = new CopyOnWriteArrayList<>();
    private final AtomicInteger incarnation = new AtomicInteger(1);
    private volatile boolean cold;
    private volatile boolean draining;
    private volatile int slowMillis = 300;
    private volatile HttpServer server;
    private volatile int port;

    private TestTarget(Vertx vertx) {
        this.vertx = vertx;
    }

    /** Returns a target that listens on a port of its own. */
    public static TestTarget start(Vertx vertx) {
        TestTarget target = new TestTarget(vertx);
        target.listen(0);
        return target;
    }

    public Endpoint address() {
        return Endpoint.of("127.0.0.1", port);
    }

    /** Returns how many service requests have arrived. */
    public int started() {
        return started.get();
    }

    /** Returns how many service requests were aborted by the guard. */
    public int aborted() {
        return aborted.get();
    }

    /** Returns how many service requests are open. */
    public int working() {
        return working.get();
    }

    /** Returns the most service requests that were open at a time. */
    public int mostAtATime() {
        return maxInFlight.get();
    }

    /** Returns method, path and header fields of each service request. */
    public List<String> seen() {
        return seen;
    }

    public void setSlowMillis(int millis) {
        slowMillis = millis;
    }

    public void setReportedState(boolean nowCold, boolean nowDraining) {
        cold = nowCold;
        draining = nowDraining;
    }

    /** Stops without answering anything. */
    public void crash() {
        Waiting.get(server.close());
    }

    /** Answers the requests for /held. */
    public void answerHeld() {
        heldResponses.forEach(response -> response.end("held"));
    }

    /** Closes all connections, as a target does with those that have been idle for long. */
    public void closeConnections() {
        connections.forEach(HttpConnection::close);
    }

    /** Starts again on the same port, with a new incarnation. */
    public void restart() {
        incarnation.incrementAndGet();
        listen(port);
    }

    private void listen(int wanted) {
        server =
                vertx.createHttpServer()
                        .connectionHandler(connections::add)
                        .requestHandler(this::onRequest);
        port = Waiting.get(server.listen(wanted, "127.0.0.1")).actualPort();
    }

    private void onRequest(HttpServerRequest request) {
        if (request.path().equals("/load")) {
            request.response()
                    .end(
                            "{\"in_flight\":0,\"slots\":18,\"cold\":"
                                    + cold
                                    + ",\"draining\":"
                                    + draining
                                    + ",\"incarnation\":"
                                    + incarnation
                                    + "}");
            return;
        }
        started.incrementAndGet();
        maxInFlight.accumulateAndGet(working.incrementAndGet(), Math::max);
        request.response().endHandler(ignored -> working.decrementAndGet());
        seen.add(request.method() + " " + request.uri() + "\n" + request.headers());
        request.response().closeHandler(ignored -> onClosed(request));
        request.body().onSuccess(body -> answer(request, body));
    }

    private void onClosed(HttpServerRequest request) {
        if (!request.response().ended()) {
            aborted.incrementAndGet();
        }
    }

    private void answer(HttpServerRequest request, Buffer body) {
        switch (request.path()) {
            case "/slow" ->
                    vertx.setTimer(
                            slowMillis,
                            ignored -> {
                                if (!request.response().closed()) {
                                    request.response().end("slow");
                                }
                            });
            case "/held" -> heldResponses.add(request.response());
            case "/big" -> request.response().end(Buffer.buffer(new byte[5 << 20]));
            case "/break" -> request.connection().close();
            case "/truncate" -> {
                request.response().putHeader("Content-Length", "1000").write("only a part");
                vertx.setTimer(20, ignored -> request.connection().close());
            }
            case "/fail" -> request.response().setStatusCode(500).end("failed");
            case "/never" -> vertx.setTimer(TimeUnit.MINUTES.toMillis(1), ignored -> {});
            default ->
                    request.response()
                            .putHeader("Connection", "close, X-Private")
                            .putHeader("X-Private", "1")
                            .putHeader("X-Echo", "2")
                            .end(body);
        }
    }
}
