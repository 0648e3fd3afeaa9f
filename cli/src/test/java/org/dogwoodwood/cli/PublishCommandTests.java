package org.dogwoodwood.cli;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.dogwoodwood.codec.configuration.ConfigurationJsonCodec;
import org.dogwoodwood.codec.configuration.ConfigurationReader;
import org.dogwoodwood.core.configuration.Configuration;
import org.dogwoodwood.standins.log.StandinLog;
import org.dogwoodwood.standins.log.StandinLogOptions;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against partial publications, undetected conflicts and duplicate publications. */
class PublishCommandTests {

    private static final String VALID =
            """
            [service.outings]
            data_centres = ["coast"]
            timeout_millis = %d

            [data-centre.coast]
            region = "north"
            """;

    @TempDir private Path directory;
    private final Vertx vertx = Vertx.vertx();
    private StandinLog log;

    @BeforeEach
    void startLog() throws IOException {
        log = StandinLog.start(vertx, StandinLogOptions.onPort(0)).await();
        write("one", 1_000);
        write("two", 2_000);
    }

    @AfterEach
    void stop() {
        vertx.close().await();
    }

    @Test
    void publishesAndShowsWhatWasPublished() {
        ToolRun run = publish("one");

        assertThat(run.status()).isEqualTo(ExitStatus.OK);
        assertThat(run.out()).contains("Published as version 1", "+ service.outings");
        assertThat(tool("show").out()).contains("# version 1", "timeout_millis = 1000");
        assertThat(tool("diff", "two").out())
                .contains("~ service.outings.timeout_millis: 1000 -> 2000");
        assertThat(publish("one").out()).contains("Version 1 already holds this configuration.");
        assertThat(tool("history").out()).contains("version 1").doesNotContain("version 2");
    }

    @Test
    void publishesNothingFromInvalidFiles() throws IOException {
        Files.writeString(directory.resolve("two/more.toml"), "[service.x]\ntimeout = 3\n");

        ToolRun run = publish("two");

        assertThat(run.status()).isEqualTo(ExitStatus.PROBLEMS);
        assertThat(run.out()).contains("more.toml:2: service.x.timeout: 4002");
        assertThat(tool("history").out()).contains("The log holds no publication.");
    }

    @Test
    void publishesOnceWhenResponsesAreLostAndTheLogKeepsBothAppends() {
        control(new JsonObject().put("lose_answers", 2).put("deduplicate", false));

        ToolRun run = publish("one");

        assertThat(run.status()).isEqualTo(ExitStatus.OK);
        assertThat(run.out()).contains("Published as version 1");
        assertThat(publish("two").out()).contains("Published as version 2");
    }

    @Test
    void doesNotPublishWhileTheLogIsDown() {
        control(new JsonObject().put("down", true));

        ToolRun run = publish("one");

        assertThat(run.status()).isEqualTo(ExitStatus.UNREACHABLE);
        assertThat(run.err()).contains("error 6001", "Wait for the platform log");
        control(new JsonObject().put("down", false));
        assertThat(tool("history").out()).contains("The log holds no publication.");
    }

    @Test
    void explainsHowToCheckOutcomeWhenLogGoesDownAfterAppend() {
        control(new JsonObject().put("lose_answers", 1).put("down_after_append", true));

        ToolRun run = tool("publish", "one", "--timeout", "1");

        assertThat(run.status()).isEqualTo(ExitStatus.OUTCOME_UNKNOWN);
        Matcher id = Pattern.compile("--publication-id ([a-z0-9-]+)").matcher(run.err());
        assertThat(id.find()).isTrue();
        control(new JsonObject().put("down", false));
        ToolRun again = tool("publish", "one", "--publication-id", id.group(1));
        assertThat(again.out()).contains("Published as version 1");
        assertThat(tool("history").out().lines()).hasSize(2);
    }

    @Test
    void rejectsOneOfTwoConcurrentPublicationsAndShowsWhatChanged() {
        publish("one");
        Stream.of("two", "three").forEach(name -> write(name, name.length() * 1_000));
        control(new JsonObject().put("delay_ms", 300));

        List<ToolRun> runs =
                Stream.of("two", "three")
                        .map(name -> CompletableFuture.supplyAsync(() -> publish(name)))
                        .toList()
                        .stream()
                        .map(CompletableFuture::join)
                        .toList();

        assertThat(runs)
                .extracting(ToolRun::status)
                .containsExactlyInAnyOrder(ExitStatus.OK, ExitStatus.CONFLICT);
        assertThat(runs)
                .filteredOn(run -> run.status() == ExitStatus.CONFLICT)
                .singleElement()
                .extracting(ToolRun::out)
                .asString()
                .contains("error 4101", "Changed by others since version 1", "--base 2");
    }

    @Test
    void rejectsFilesEditedFromOldVersion() {
        publish("one");
        publish("two");
        write("one", 1_500);

        ToolRun run = publish("one");

        assertThat(run.status()).isEqualTo(ExitStatus.CONFLICT);
        assertThat(run.out())
                .contains("edited from version 1", "timeout_millis: 1000 -> 2000", "2000 -> 1500");
        assertThat(tool("publish", "one", "--base", "2").out()).contains("Published as version 3");
        assertThat(tool("publish", "two", "--base", "9").err()).contains("There is no version 9");
    }

    @Test
    void queriesNodesForVersionInForceWhenLogHasExpired() {
        publish("one");
        FakeNode node = FakeNode.start(vertx, "node");
        Configuration inForce =
                ConfigurationReader.create()
                        .read(directory.resolve("one"))
                        .configuration()
                        .orElseThrow();
        node.configuration =
                new JsonObject()
                        .put("version", 7)
                        .put("publication_id", "seventh")
                        .put("log_state_known", true)
                        .put("document", new JsonObject(ConfigurationJsonCodec.encode(inForce)));
        node.configurationOffset = 1;
        control(new JsonObject().put("expire_before", 1));

        ToolRun without = publish("two");
        ToolRun with = tool("publish", "two", "--node", node.address());

        assertThat(without.status()).isEqualTo(ExitStatus.UNREACHABLE);
        assertThat(without.err()).contains("error 6003", "Name a running node with --node.");
        assertThat(with.err()).isEmpty();
        assertThat(with.out()).contains("Published as version 8", "timeout_millis: 1000 -> 2000");
    }

    @Test
    void waitsUntilInForceAndReportsNodesWhereItIsNot() {
        FakeNode prompt = FakeNode.start(vertx, "prompt");
        FakeNode late = FakeNode.start(vertx, "late");
        prompt.version = 1;

        ToolRun run =
                tool(
                        "publish",
                        "one",
                        "--wait",
                        "1",
                        "--node",
                        prompt.address() + "," + late.address());

        assertThat(run.status()).isEqualTo(ExitStatus.NOT_IN_FORCE);
        assertThat(run.out())
                .contains("Published as version 1", "late: It has version 0.")
                .contains("Not asked, since their admin address is not known: unlisted")
                .doesNotContain("prompt:");
        late.version = 1;
        assertThat(tool("publish", "one", "--wait", "1", "--node", late.address()).status())
                .isEqualTo(ExitStatus.OK);
    }

    private ToolRun publish(String name) {
        return tool("publish", name);
    }

    private ToolRun tool(String... arguments) {
        String[] all =
                Stream.concat(Stream.of(arguments), Stream.of("--log", "127.0.0.1:" + log.port()))
                        .toArray(String[]::new);
        return ToolRun.of(directory, all);
    }

    private JsonObject control(JsonObject change) {
        HttpClient client = vertx.createHttpClient();
        JsonObject answer =
                client.request(HttpMethod.POST, log.port(), "127.0.0.1", "/control")
                        .compose(
                                request ->
                                        request.send(change.toBuffer())
                                                .compose(response -> response.body()))
                        .await()
                        .toJsonObject();
        client.close();
        return answer;
    }

    private void write(String name, int timeoutMillis) {
        try {
            Files.createDirectories(directory.resolve(name));
            Files.writeString(
                    directory.resolve(name + "/all.toml"), VALID.formatted(timeoutMillis));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
