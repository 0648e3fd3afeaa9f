package org.dogwoodwood.standins.target;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.json.JsonObject;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.IntStream;
import org.dogwoodwood.standins.support.Address;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against a stand-in target that hides faults of the system under test. */
class StandinTargetTests {

    private final Vertx vertx = Vertx.vertx();
    private final HttpClient client =
            vertx.createHttpClient(new PoolOptions().setHttp1MaxSize(100));
    private StandinTarget target;

    @AfterEach
    void stop() {
        vertx.close().await();
    }

    @Test
    void runsAtMostOneCallPerSlotAndAnswersCompletely() {
        target = start(TargetOptions.warm("outings", 3, 20));

        List<Future<Buffer>> answers =
                IntStream.range(0, 12).mapToObj(number -> call("id-" + number, 64)).toList();

        for (int number = 0; number < answers.size(); number++) {
            assertThat(answers.get(number).await().getBytes())
                    .isEqualTo(TargetAnswers.bodyOf("id-" + number, 64));
        }
        assertThat(control(new JsonObject()).getInteger("max_running")).isEqualTo(3);
    }

    @Test
    void collapsesWhenColdUnderFullLoadAndWarmsUpUnderLightLoad() {
        target = start(TargetOptions.warm("outings", 6, 2).coldForCalls(5));

        Future.all(IntStream.range(0, 6).mapToObj(number -> call("full", 0)).toList()).await();
        JsonObject loaded = control(new JsonObject());
        IntStream.range(0, 5).forEach(number -> call("single", 0).await());

        assertThat(loaded.getInteger("collapsed_calls")).isPositive();
        assertThat(loaded.getBoolean("cold")).isTrue();
        assertThat(control(new JsonObject()).getBoolean("cold")).isFalse();
    }

    @Test
    void countsExecutionsPerCallAndKeyAcrossCrashes() {
        target = start(TargetOptions.warm("outings", 3, 1));
        post("deposit", "key-1").await();
        post("deposit", "key-1").await();
        post("deposit", "key-2").await();
        long incarnation = control(new JsonObject()).getLong("incarnation");

        control(new JsonObject().put("crash_on", "poison"));
        assertThat(post("poison", "key-3").otherwiseEmpty().await()).isNull();

        JsonObject after = controlWhenUp();
        assertThat(after.getLong("incarnation")).isGreaterThan(incarnation);
        assertThat(after.getInteger("crashes")).isEqualTo(1);
        JsonObject executions = get("/executions").await().toJsonObject();
        assertThat(executions.getInteger("total")).isEqualTo(4);
        assertThat(executions.getJsonArray("by_key"))
                .containsExactly(new JsonObject().put("id", "key-1").put("count", 2));
    }

    @Test
    void appliesFaultsSetThroughControl() {
        target = start(TargetOptions.warm("outings", 3, 1));

        control(new JsonObject().put("load_lie", 7).put("health_lie", true));
        assertThat(get("/load").await().toJsonObject().getInteger("in_flight")).isEqualTo(7);
        assertThat(status("/health")).isEqualTo(503);
        control(new JsonObject().put("fail_fast", true));
        assertThat(status("/services/outings/items/a")).isEqualTo(500);
        control(new JsonObject().put("fail_fast", false).put("draining", true));
        assertThat(status("/services/outings/items/a")).isEqualTo(503);
        assertThat(get("/load").await().toJsonObject().getBoolean("draining")).isTrue();
    }

    @Test
    void announcesItselfUntilTheNodeAccepts() {
        List<JsonObject> announcements = new CopyOnWriteArrayList<>();
        int port =
                vertx.createHttpServer()
                        .requestHandler(
                                request ->
                                        request.body()
                                                .onSuccess(
                                                        body -> {
                                                            announcements.add(body.toJsonObject());
                                                            int status =
                                                                    announcements.size() < 2
                                                                            ? 503
                                                                            : 200;
                                                            request.response()
                                                                    .setStatusCode(status)
                                                                    .end();
                                                        }))
                        .listen(0, "127.0.0.1")
                        .await()
                        .actualPort();

        target = start(TargetOptions.warm("outings", 3, 1).announcedToNode(Address.local(port)));

        while (!control(new JsonObject()).getBoolean("announced")) {
            Thread.onSpinWait();
        }
        assertThat(announcements)
                .hasSize(2)
                .allSatisfy(
                        announcement ->
                                assertThat(announcement.fieldNames())
                                        .containsExactlyInAnyOrder(
                                                "service",
                                                "address",
                                                "slots",
                                                "connections",
                                                "cold",
                                                "draining",
                                                "cold_slots"));
    }

    private StandinTarget start(TargetOptions options) {
        return StandinTarget.start(vertx, options).await();
    }

    private Future<Buffer> call(String id, int bytes) {
        return get("/services/outings/items/" + id + "?bytes=" + bytes);
    }

    private Future<Buffer> get(String path) {
        return client.request(HttpMethod.GET, target.port(), "127.0.0.1", path)
                .compose(request -> request.send().compose(response -> response.body()));
    }

    private int status(String path) {
        return client.request(HttpMethod.GET, target.port(), "127.0.0.1", path)
                .compose(request -> request.send())
                .await()
                .statusCode();
    }

    private Future<Buffer> post(String body, String key) {
        return client.request(HttpMethod.POST, target.port(), "127.0.0.1", "/deposits/" + key)
                .compose(
                        request ->
                                request.putHeader("Idempotency-Key", key)
                                        .putHeader("Dogwoodwood-Call-Id", "node/1/" + key)
                                        .send(body)
                                        .compose(response -> response.body()));
    }

    private JsonObject control(JsonObject change) {
        return tryControl(change).await();
    }

    private JsonObject controlWhenUp() {
        JsonObject answer = null;
        while (answer == null) {
            answer = tryControl(new JsonObject()).otherwiseEmpty().await();
        }
        return answer;
    }

    private Future<JsonObject> tryControl(JsonObject change) {
        return client.request(HttpMethod.POST, target.port(), "127.0.0.1", "/control")
                .compose(
                        request ->
                                request.send(change.toBuffer())
                                        .compose(response -> response.body()))
                .map(body -> body.toJsonObject());
    }
}
