package org.dogwoodwood.standins.log;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class StandinLogTests {

    private final HttpClient client = HttpClient.newHttpClient();
    private Vertx vertx;
    private StandinLog log;

    @BeforeEach
    void startLog() throws Exception {
        vertx = Vertx.vertx();
        log = await(StandinLog.start(vertx, new StandinLogOptions(0, 20, 0)));
    }

    @AfterEach
    void closeLog() throws Exception {
        await(vertx.close());
    }

    /** Guards against a repeated publication id that is appended twice. */
    @Test
    void repeatedPublicationIdKeepsItsOffset() throws Exception {
        assertThat(append("a").getLong("offset")).isZero();
        assertThat(append("b").getLong("offset")).isEqualTo(1);
        JsonObject again = append("a");
        assertThat(again.getLong("offset")).isZero();
        assertThat(again.getBoolean("duplicate")).isTrue();
    }

    /** Guards against a long poll that misses a record appended while it waits. */
    @Test
    void longPollReturnsWhenRecordIsAppended() throws Exception {
        CompletableFuture<HttpResponse<String>> poll =
                client.sendAsync(
                        request("/v1/streams/s/records?from=0&wait_ms=10000").build(),
                        HttpResponse.BodyHandlers.ofString());
        append("a");
        JsonObject answer = new JsonObject(poll.get(5, TimeUnit.SECONDS).body());
        assertThat(answer.getJsonArray("records")).hasSize(1);
        assertThat(answer.getLong("next_offset")).isEqualTo(1);
    }

    /** Guards against a lost response whose append did not take effect. */
    @Test
    void appendWithLostResponseTakesEffect() throws Exception {
        control("{\"lose_answers\": 1}");
        Assertions.assertThatThrownBy(() -> append("a")).isInstanceOf(IOException.class);
        assertThat(append("a").getBoolean("duplicate")).isTrue();
    }

    /** Guards against reads below the first retained offset that return an empty result. */
    @Test
    void readBelowFirstRetainedOffsetReturnsGone() throws Exception {
        append("a");
        append("b");
        control("{\"expire_before\": 1}");
        HttpResponse<String> answer = send(request("/v1/streams/s/records?from=0"));
        assertThat(answer.statusCode()).isEqualTo(410);
        assertThat(new JsonObject(answer.body()).getLong("first_offset")).isEqualTo(1);
    }

    /** Guards against an outage that still accepts appends. */
    @Test
    void logThatIsDownAnswersUnavailable() throws Exception {
        control("{\"down\": true}");
        assertThat(send(appendRequest("a")).statusCode()).isEqualTo(503);
        control("{\"down\": false}");
        assertThat(append("a").getBoolean("duplicate")).isFalse();
    }

    /** Guards against appends without a rate limit. */
    @Test
    void appendsOverTheRateAreRefused() throws Exception {
        boolean refused = false;
        for (int i = 0; i < 200 && !refused; i++) {
            refused = send(appendRequest("p" + i)).statusCode() == 429;
        }
        assertThat(refused).isTrue();
    }

    private JsonObject append(String publicationId) throws Exception {
        HttpResponse<String> answer = send(appendRequest(publicationId));
        assertThat(answer.statusCode()).isEqualTo(201);
        return new JsonObject(answer.body());
    }

    private HttpRequest.Builder appendRequest(String publicationId) {
        return request("/v1/streams/s/records")
                .header("Publication-Id", publicationId)
                .POST(HttpRequest.BodyPublishers.ofString("x"));
    }

    private void control(String change) throws Exception {
        HttpRequest.Builder post =
                request("/control").POST(HttpRequest.BodyPublishers.ofString(change));
        assertThat(send(post).statusCode()).isEqualTo(200);
    }

    private HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + log.port() + path));
    }

    private HttpResponse<String> send(HttpRequest.Builder request) throws Exception {
        return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    private static <T> T await(io.vertx.core.Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }
}
