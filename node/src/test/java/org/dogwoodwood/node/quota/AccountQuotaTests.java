package org.dogwoodwood.node.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.dogwoodwood.core.configuration.AccountDefinition;
import org.dogwoodwood.core.configuration.AccountKey;
import org.dogwoodwood.core.configuration.Configuration;
import org.dogwoodwood.core.routing.RouteTarget;
import org.dogwoodwood.core.routing.RoutingTable;
import org.dogwoodwood.node.support.TestInstallation;
import org.dogwoodwood.node.support.TestNode;
import org.dogwoodwood.node.support.Waiting;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against quotas that each node enforces alone, or only for some kinds of requests. */
class AccountQuotaTests {

    private static final int HOT_RATE = 5;
    private static final int HOT_BURST = 5;
    private static final int BOUND = (int) ((5 * HOT_RATE + HOT_BURST) * 1.1 + 20);
    private static final long SECOND_NANOS = 1_000_000_000L;

    private final TestInstallation installation = new TestInstallation();
    private final List<TestNode> nodes = new ArrayList<>();

    @BeforeEach
    void startNodes() {
        for (int i = 0; i < 3; i++) {
            nodes.add(installation.startGuard("node" + i, installation.startTarget()));
        }
        RouteTarget[] routes =
                nodes.stream()
                        .map(node -> node.route(node.peerAddress()))
                        .toArray(RouteTarget[]::new);
        RoutingTable table = TestInstallation.table(routes);
        Map<String, AccountDefinition> accounts =
                Stream.of(account("hot", HOT_RATE, HOT_BURST), account("calm", 100, 100))
                        .collect(Collectors.toMap(AccountDefinition::name, each -> each));
        Configuration configuration =
                new Configuration(
                        1,
                        table.configuration().services(),
                        Map.of(),
                        Map.of(),
                        table.configuration().policies(),
                        Map.of(),
                        accounts);
        RoutingTable withAccounts =
                new RoutingTable(configuration, table.targetsByService(), Long.MAX_VALUE, false);
        nodes.forEach(node -> node.control().setRoutingTable(withAccounts));
        Waiting.until(
                "an account within its limit is served",
                () -> get(nodes.get(0), "calm").join().statusCode() == 200);
    }

    @AfterEach
    void close() {
        installation.close();
    }

    @Test
    void limitsAHotAccountOverAllNodesAndNoOther() {
        List<CompletableFuture<HttpResponse<String>>> hot = new ArrayList<>();
        List<CompletableFuture<HttpResponse<String>>> calm = new ArrayList<>();
        long startNanos = System.nanoTime();
        for (int i = 0; i < 150; i++) {
            hot.add(get(nodes.get(i % 3), "hot"));
            if (i % 15 == 0) {
                calm.add(get(nodes.get(i / 15 % 3), "calm"));
                calm.get(calm.size() - 1).join();
            }
        }
        List<Integer> statuses = hot.stream().map(call -> call.join().statusCode()).toList();
        long seconds = 1 + (System.nanoTime() - startNanos) / SECOND_NANOS;

        assertThat(calm).allMatch(call -> call.join().statusCode() != 429);
        long admitted = statuses.stream().filter(status -> status != 429).count();
        assertThat(admitted).isBetween((long) HOT_BURST, BOUND + HOT_RATE * seconds);
        for (int i = 0; i < 3; i++) {
            int node = i;
            Optional<HttpResponse<String>> refused =
                    IntStream.range(0, hot.size())
                            .filter(call -> call % 3 == node)
                            .mapToObj(call -> hot.get(call).join())
                            .filter(answer -> answer.statusCode() == 429)
                            .findFirst();
            assertThat(refused.orElseThrow().body())
                    .contains("QUOTA_EXCEEDED")
                    .contains("5.0 calls per second");
            double retryAfter =
                    Double.parseDouble(
                            refused.get().headers().firstValue("Retry-After").orElseThrow());
            assertThat(retryAfter).isBetween(0.001, 60.0);
            assertThat(nodes.get(node).node().metrics().prometheusText())
                    .contains("dogwoodwood_quota_refused_total{account=\"hot\"}")
                    .doesNotContain("dogwoodwood_quota_refused_total{account=\"calm\"}");
        }
    }

    @Test
    void limitsPipelinedRequests() throws IOException {
        int requests = 120;
        StringBuilder sent = new StringBuilder();
        for (int i = 1; i <= requests; i++) {
            sent.append("GET /services/shop/fast HTTP/1.1\r\nHost: shop\r\n");
            sent.append(i == requests ? "Connection: close\r\n" : "");
            sent.append("Authorization: Bearer hot\r\n\r\n");
        }
        try (Socket socket =
                new Socket(InetAddress.getLoopbackAddress(), nodes.get(1).node().callerPort())) {
            socket.setSoTimeout(10_000);
            socket.getOutputStream().write(sent.toString().getBytes(StandardCharsets.US_ASCII));
            String received =
                    new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);

            int refused = received.split("HTTP/1.1 429", -1).length - 1;
            int answers = received.split("HTTP/1.1 ", -1).length - 1;
            assertThat(answers).isEqualTo(requests);
            // The slots have just started and hold a part of the burst only.
            assertThat(refused).isBetween(requests - BOUND, requests - 1);
        }
    }

    private CompletableFuture<HttpResponse<String>> get(TestNode node, String key) {
        return installation
                .caller()
                .sendAsync(
                        TestInstallation.request(node, "/fast")
                                .header("Authorization", "Bearer " + key)
                                .GET()
                                .build(),
                        HttpResponse.BodyHandlers.ofString());
    }

    private static AccountDefinition account(String name, double callsPerSecond, int burst) {
        return new AccountDefinition(
                name,
                Set.of(AccountKey.fromClearText(name)),
                Optional.empty(),
                callsPerSecond,
                burst);
    }
}
