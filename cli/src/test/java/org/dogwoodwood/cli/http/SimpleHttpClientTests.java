package org.dogwoodwood.cli.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class SimpleHttpClientTests {

    private static final String HOST = "127.0.0.1";
    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final String NO_BODY = "\r\nContent-Length: 0\r\n\r\n";

    private final Vertx vertx = Vertx.vertx();
    private final AtomicInteger requests = new AtomicInteger();

    @AfterEach
    void stop() {
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    /** Guards against the beginning of a second copy that becomes that of the next answer. */
    @Test
    void aFailureAfterACutCopyOfASuccessIsNoSuccess() {
        NetServer node = vertx.createNetServer().connectHandler(this::serve);
        int port =
                node.listen(0, HOST).toCompletionStage().toCompletableFuture().join().actualPort();
        NetworkAddress address = new NetworkAddress(HOST, port);
        try (SimpleHttpClient client = SimpleHttpClient.create()) {
            assertThat(client.get(address, "/", Map.of(), TIMEOUT).status()).isEqualTo(200);
            assertThat(client.get(address, "/", Map.of(), TIMEOUT).status()).isEqualTo(503);
        }
    }

    /** Guards against an answer with a status that HTTP does not have. */
    @ParameterizedTest
    @ValueSource(strings = {"000", "099", "600", "101", "2x0"})
    void anUnknownStatusIsNoAnswer(String status) {
        NetServer node =
                vertx.createNetServer()
                        .connectHandler(
                                socket ->
                                        socket.handler(
                                                request ->
                                                        socket.write(
                                                                "HTTP/1.1 " + status + NO_BODY)));
        int port =
                node.listen(0, HOST).toCompletionStage().toCompletableFuture().join().actualPort();
        try (SimpleHttpClient client = SimpleHttpClient.create()) {
            NetworkAddress address = new NetworkAddress(HOST, port);

            assertThatThrownBy(() -> client.get(address, "/", Map.of(), TIMEOUT))
                    .isInstanceOf(HttpRequestException.class);
        }
    }

    private void serve(NetSocket socket) {
        socket.handler(
                request ->
                        socket.write(
                                requests.getAndIncrement() == 0
                                        ? "HTTP/1.1 200 OK" + NO_BODY + "HTTP/1.1 200 O"
                                        : "HTTP/1.1 503 Service Unavailable" + NO_BODY));
    }
}
