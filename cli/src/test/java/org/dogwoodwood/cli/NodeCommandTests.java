package org.dogwoodwood.cli;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import java.nio.file.Path;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against orders that are lost, issued twice or issued for a misspelt data centre. */
class NodeCommandTests {

    private static final String UNREACHABLE = "127.0.0.1:1";

    @TempDir private Path directory;
    private final Vertx vertx = Vertx.vertx();
    private FakeNode first;
    private FakeNode second;

    @BeforeEach
    void startNodes() {
        first = FakeNode.start(vertx, "first");
        second = FakeNode.start(vertx, "second");
    }

    @AfterEach
    void stop() {
        vertx.close().await();
    }

    @Test
    void takesDataCentreOutThroughAnyReachableNodeWithoutLog() {
        ToolRun run = tool("data-centre", "out", "coast", "--node", UNREACHABLE);

        assertThat(run.status()).isEqualTo(ExitStatus.OK);
        assertThat(run.out()).contains("coast is being taken out of service.");
        assertThat(first.orders)
                .singleElement()
                .extracting(order -> order.getString("state"))
                .isEqualTo("out");
        assertThat(tool("data-centre", "return", "coast").out()).contains("returned to service");
    }

    @Test
    void repeatsOrderWithSameIdWhenResponseIsLost() {
        first.responsesToLose.set(1);

        assertThat(tool("data-centre", "out", "coast").status()).isEqualTo(ExitStatus.OK);

        assertThat(Stream.concat(first.orders.stream(), second.orders.stream()))
                .hasSize(2)
                .extracting((JsonObject order) -> order.getString("order_id"))
                .containsOnly(first.orders.get(0).getString("order_id"));
    }

    @Test
    void reportsNodesWhereOrderIsNotInForce() {
        ToolRun run = tool("data-centre", "out", "coast", "--wait", "1");

        assertThat(run.status()).isEqualTo(ExitStatus.NOT_IN_FORCE);
        assertThat(run.out()).contains("error 8002", "second: The state of coast is 'in'.");
        second.coastState = "out";
        assertThat(tool("data-centre", "out", "coast", "--wait", "5").out())
                .contains("In force on all 2 nodes asked");
    }

    @Test
    void refusesUnknownDataCentresAndActions() {
        ToolRun run = tool("data-centre", "out", "caost");

        assertThat(run.status()).isEqualTo(ExitStatus.USAGE);
        assertThat(run.err()).contains("no data centre 'caost'", "Did you mean 'coast'?");
        assertThat(tool("data-centre", "remove", "coast").err()).contains("Use 'out' or 'return'");
        assertThat(tool("data-centre", "out").err()).contains("NAME is missing");
        assertThat(first.orders).isEmpty();
    }

    @Test
    void showsVersionsPerNodeAndUnreachableNodes() {
        first.version = 4;
        second.version = 3;

        ToolRun run = tool("status", "--node", UNREACHABLE);

        assertThat(run.status()).isEqualTo(ExitStatus.OK);
        assertThat(run.out())
                .containsPattern("first +coast +ready +4 +reachable")
                .containsPattern("- +- +no answer +- +- +127.0.0.1:1")
                .contains("Nodes have different versions in force: [3, 4].")
                .containsPattern("outings +3 +3");
        JsonObject json = new JsonObject(tool("status", "--json").out());
        assertThat(json.getJsonArray("nodes")).hasSize(2);
    }

    @Test
    void failsWithoutAnyReachableNode() {
        ToolRun status = ToolRun.of(directory, "status", "--node", UNREACHABLE);
        ToolRun order = ToolRun.of(directory, "data-centre", "out", "coast", "--node", UNREACHABLE);

        assertThat(status.status()).isEqualTo(ExitStatus.UNREACHABLE);
        assertThat(order.status()).isEqualTo(ExitStatus.UNREACHABLE);
        assertThat(order.err()).contains("error 8003");
    }

    private ToolRun tool(String... arguments) {
        String nodes = first.address() + "," + second.address();
        return ToolRun.of(
                directory,
                Stream.concat(Stream.of(arguments), Stream.of("--node", nodes))
                        .toArray(String[]::new));
    }
}
