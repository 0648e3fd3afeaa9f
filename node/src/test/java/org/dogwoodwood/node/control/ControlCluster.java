package org.dogwoodwood.node.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.dogwoodwood.codec.configuration.ConfigurationJsonCodec;
import org.dogwoodwood.codec.log.ConfigurationRecord;
import org.dogwoodwood.codec.log.LogRecordCodec;
import org.dogwoodwood.core.configuration.Configuration;
import org.dogwoodwood.core.configuration.DataCentreDefinition;
import org.dogwoodwood.core.membership.MemberTarget;
import org.dogwoodwood.core.membership.MembershipTimings;
import org.dogwoodwood.core.membership.NodeAddress;
import org.dogwoodwood.core.model.NodeId;
import org.dogwoodwood.core.model.TargetState;
import org.dogwoodwood.core.routing.RouteTarget;
import org.dogwoodwood.node.logging.EventLog;
import org.dogwoodwood.node.settings.Endpoint;
import org.dogwoodwood.standins.log.StandinLog;
import org.dogwoodwood.standins.log.StandinLogOptions;

/** Control planes in one process, connected by an in-memory network and the stand-in log. */
final class ControlCluster implements AutoCloseable {

    static final String SERVICE = "outings";
    static final int FIRST_PORT = 1;
    static final ControlTimings TIMINGS =
            new ControlTimings(
                    250,
                    400,
                    2_000,
                    0,
                    200,
                    1_000,
                    2_000,
                    86_400_000,
                    500,
                    60_000,
                    MembershipTimings.defaults());

    final Vertx vertx = Vertx.vertx();
    final InMemoryNetwork network = new InMemoryNetwork(vertx);
    private final Map<Integer, DefaultControlPlane> nodes = new HashMap<>();
    private final HttpClient client = HttpClient.newHttpClient();
    private final ControlTimings timings;
    private final StandinLog log;

    private ControlCluster(ControlTimings timings, StandinLogOptions options) {
        this.timings = timings;
        this.log = await(StandinLog.start(vertx, options));
    }

    static ControlCluster create() {
        return create(TIMINGS, StandinLogOptions.onPort(0));
    }

    static ControlCluster create(ControlTimings timings, StandinLogOptions options) {
        return new ControlCluster(timings, options);
    }

    /** Starts a node; even numbers are in data centre a, odd ones in b. */
    DefaultControlPlane start(int number, long incarnation) {
        DefaultControlPlane node = startWithoutTarget(number, incarnation);
        node.announceTarget(new MemberTarget(SERVICE, 6, 220, TargetState.WARM));
        return node;
    }

    DefaultControlPlane startWithoutTarget(int number, long incarnation) {
        ControlSettings settings =
                new ControlSettings(
                        NodeId.of("node-" + number),
                        incarnation,
                        new NodeAddress(dataCentreOf(number), "127.0.0.1", number, 0),
                        Optional.of(Endpoint.of("127.0.0.1", log.port())),
                        List.of(Endpoint.of("127.0.0.1", FIRST_PORT)),
                        timings);
        DefaultControlPlane node =
                DefaultControlPlane.create(
                        vertx,
                        network.transport(number),
                        settings,
                        new Random(number),
                        EventLog.create());
        nodes.put(number, node);
        await(node.start());
        return node;
    }

    void startAll(int count) {
        for (int number = FIRST_PORT; number < FIRST_PORT + count; number++) {
            start(number, 100);
        }
    }

    /** Stops a node abruptly, without an announcement to its peers. */
    void kill(int number) {
        network.disconnect(number);
        await(nodes.remove(number).stop());
    }

    DefaultControlPlane node(int number) {
        return nodes.get(number);
    }

    /** Waits until all nodes are ready and each routes to {@code count} targets. */
    void awaitTargets(int count) {
        eventually(
                "every node knows " + count + " targets",
                10_000,
                () ->
                        nodes.values().stream()
                                .allMatch(node -> node.isReady() && usableTargets(node) == count));
    }

    /** Returns the number of targets to which a node may send calls. */
    static long usableTargets(DefaultControlPlane node) {
        return node.routingTable().targetsOf(SERVICE).stream()
                .filter(target -> target.acceptsWork() && !target.suspect())
                .count();
    }

    static Optional<RouteTarget> findTarget(DefaultControlPlane observer, int number) {
        return observer.routingTable().targetsOf(SERVICE).stream()
                .filter(target -> target.node().value().equals("node-" + number))
                .findFirst();
    }

    void awaitVersion(long version, long withinMillis) {
        eventually(
                "version " + version + " is in force everywhere",
                withinMillis,
                () ->
                        nodes.values().stream()
                                .allMatch(
                                        node ->
                                                node.routingTable().configuration().version()
                                                        == version));
    }

    /** Appends a publication as the operators' tool does, with a retry after a lost response. */
    void publish(String publicationId, long baseVersion, String region) {
        Configuration configuration =
                new Configuration(
                        0,
                        Map.of(),
                        Map.of("a", new DataCentreDefinition("a", region)),
                        Map.of(),
                        Map.of());
        byte[] data =
                LogRecordCodec.encode(
                        new ConfigurationRecord(
                                publicationId,
                                baseVersion,
                                ConfigurationJsonCodec.encode(configuration)));
        HttpPlatformLog tool = HttpPlatformLog.create(vertx, "127.0.0.1", log.port());
        await(
                tool.append("configuration", "configuration", publicationId, data)
                        .recover(
                                lost ->
                                        tool.append(
                                                "configuration",
                                                "configuration",
                                                publicationId,
                                                data)));
    }

    JsonObject order(int number, String dataCentre, String state) {
        JsonObject body = new JsonObject().put("state", state).put("order_id", "order-" + state);
        return await(node(number).orderDataCentre(dataCentre, body));
    }

    /** Changes the behaviour of the stand-in log and returns its status. */
    JsonObject controlLog(JsonObject change) {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + log.port() + "/control"))
                        .POST(HttpRequest.BodyPublishers.ofString(change.encode()))
                        .build();
        return new JsonObject(
                client.sendAsync(request, HttpResponse.BodyHandlers.ofString())
                        .orTimeout(10, TimeUnit.SECONDS)
                        .join()
                        .body());
    }

    /** Returns the largest number of records of a stream that the log accepted within a window. */
    long maxRecordsPerWindow(String stream, long windowMillis) {
        HttpPlatformLog reader = HttpPlatformLog.create(vertx, "127.0.0.1", log.port());
        List<Long> timestamps =
                await(reader.read(stream, 0, 1_000, 0)).records().stream()
                        .map(PlatformLog.RawRecord::timestampMillis)
                        .toList();
        return timestamps.stream()
                .mapToLong(
                        start ->
                                timestamps.stream()
                                        .filter(at -> at >= start && at < start + windowMillis)
                                        .count())
                .max()
                .orElse(0);
    }

    JsonObject logStatus() {
        return controlLog(new JsonObject());
    }

    static String dataCentreOf(int number) {
        return number % 2 == 0 ? "a" : "b";
    }

    static void eventually(String condition, long withinMillis, BooleanSupplier holds) {
        long deadline = System.nanoTime() + Duration.ofMillis(withinMillis).toNanos();
        while (!holds.getAsBoolean() && System.nanoTime() < deadline) {
            pause(10);
        }
        assertThat(holds.getAsBoolean()).as(condition).isTrue();
    }

    static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static <T> T await(Future<T> future) {
        return future.toCompletionStage()
                .toCompletableFuture()
                .orTimeout(10, TimeUnit.SECONDS)
                .join();
    }

    @Override
    public void close() {
        await(vertx.close());
    }
}
