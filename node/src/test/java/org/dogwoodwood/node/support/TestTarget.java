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

/**
 * A target whose paths answer in different ways: /echo at once, /slow after a delay, /held on
 * demand, /never not at all, /big with a large body, /fail with an error, /break and /truncate by
 * closing the connection, /numbered with its query as the body, with the status and after the delay
 * that the query names.
 */
public final class TestTarget {

    private final Vertx vertx;
    private final AtomicInteger started = new AtomicInteger();
    private final AtomicInteger aborted = new AtomicInteger();
    private final AtomicInteger inFlight = new AtomicInteger();
    private final AtomicInteger maxInFlight = new AtomicInteger();
    private final List<String> receivedRequests = new CopyOnWriteArrayList<>();
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

    /** Returns a target that listens on a free port. */
    public static TestTarget start(Vertx vertx) {
        TestTarget target = new TestTarget(vertx);
        target.listen(0);
        return target;
    }

    public Endpoint address() {
        return Endpoint.of("127.0.0.1", port);
    }

    /** Returns the number of service requests that have arrived. */
    public int started() {
        return started.get();
    }

    /** Returns the number of service requests that the guard has aborted. */
    public int aborted() {
        return aborted.get();
    }

    /** Returns the number of service requests in flight. */
    public int inFlight() {
        return inFlight.get();
    }

    /** Returns the maximum number of service requests in flight so far. */
    public int maxInFlight() {
        return maxInFlight.get();
    }

    /** Returns the method, path and header fields of each service request, in order. */
    public List<String> receivedRequests() {
        return receivedRequests;
    }

    public void setSlowMillis(int millis) {
        slowMillis = millis;
    }

    /** Sets the state that the load reports contain. */
    public void setReportedState(boolean newCold, boolean newDraining) {
        cold = newCold;
        draining = newDraining;
    }

    /** Closes the port and all connections without answering requests in flight. */
    public void crash() {
        Waiting.get(server.close());
    }

    /** Answers all requests for /held that have arrived. */
    public void answerHeld() {
        heldResponses.forEach(response -> response.end("held"));
    }

    /** Closes all connections, as a target does after its idle timeout. */
    public void closeConnections() {
        connections.forEach(HttpConnection::close);
    }

    /** Restarts the target on the same port, with a new incarnation. */
    public void restart() {
        incarnation.incrementAndGet();
        listen(port);
    }

    private void listen(int requestedPort) {
        server =
                vertx.createHttpServer()
                        .connectionHandler(connections::add)
                        .requestHandler(this::onRequest);
        port = Waiting.get(server.listen(requestedPort, "127.0.0.1")).actualPort();
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
        maxInFlight.accumulateAndGet(inFlight.incrementAndGet(), Math::max);
        request.response().endHandler(ignored -> inFlight.decrementAndGet());
        receivedRequests.add(request.method() + " " + request.uri() + "\n" + request.headers());
        request.response().closeHandler(ignored -> onClosed(request));
        request.body().onSuccess(body -> answer(request, body));
    }

    private void answerNumbered(HttpServerRequest request) {
        HttpServerResponse response = request.response();
        response.setStatusCode(Integer.parseInt(request.getParam("status")));
        response.putHeader("X-Number", request.getParam("number"));
        long millis = Long.parseLong(request.getParam("millis"));
        vertx.timer(Math.max(1, millis), TimeUnit.MILLISECONDS)
                .onSuccess(ignored -> response.end(request.query()));
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
            case "/numbered" -> answerNumbered(request);
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
