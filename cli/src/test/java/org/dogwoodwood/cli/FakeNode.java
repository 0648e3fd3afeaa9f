package org.dogwoodwood.cli;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** Fakes the part of a node's admin interface that the tool uses. */
final class FakeNode {

    final List<JsonObject> orders = new CopyOnWriteArrayList<>();
    volatile JsonObject configuration =
            new JsonObject()
                    .put(
                            "document",
                            new JsonObject()
                                    .put(
                                            "data_centres",
                                            new JsonObject().put("valley", new JsonObject())));
    volatile long configurationOffset;
    volatile long version;
    volatile String coastState = "in";
    volatile boolean appliesOrders = true;
    final AtomicInteger responsesToLose = new AtomicInteger();
    private final String name;
    private HttpServer server;

    private FakeNode(String name) {
        this.name = name;
    }

    static FakeNode start(Vertx vertx, String name) {
        FakeNode node = new FakeNode(name);
        node.server =
                vertx.createHttpServer()
                        .requestHandler(node::onRequest)
                        .listen(0, "127.0.0.1")
                        .await();
        return node;
    }

    String address() {
        return "127.0.0.1:" + server.actualPort();
    }

    private void onRequest(HttpServerRequest request) {
        if (request.path().startsWith("/data-centres/")) {
            request.body().onSuccess(body -> onOrder(request, new JsonObject(body)));
        } else if (request.path().equals("/configuration")) {
            send(request, configuration);
        } else {
            send(request, status());
        }
    }

    private void onOrder(HttpServerRequest request, JsonObject order) {
        orders.add(order);
        if (appliesOrders) {
            coastState = order.getString("state");
        }
        if (responsesToLose.getAndUpdate(count -> Math.max(0, count - 1)) > 0) {
            request.connection().close();
            return;
        }
        send(request, order.copy().put("name", "coast").put("counter", orders.size()));
    }

    private JsonObject status() {
        JsonObject member =
                new JsonObject()
                        .put("node", name)
                        .put("state", "ready")
                        .put("service", "outings")
                        .put("target_state", "warm")
                        .put("data_centre", "coast")
                        .put("host", "127.0.0.1")
                        .put("http_port", 1);
        JsonObject other = member.copy().put("node", "unlisted");
        JsonObject coast = new JsonObject().put("name", "coast").put("state", coastState);
        return new JsonObject()
                .put("node", name)
                .put("data_centre", "coast")
                .put("ready", true)
                .put("isolated", false)
                .put("configuration_version", version)
                .put("data_centres", new JsonArray().add(coast))
                .put("members", new JsonArray().add(member).add(other))
                .put(
                        "log",
                        new JsonObject()
                                .put("reachable", true)
                                .put("configuration_offset", configurationOffset));
    }

    private static void send(HttpServerRequest request, JsonObject answer) {
        request.response().end(answer.toBuffer());
    }
}
