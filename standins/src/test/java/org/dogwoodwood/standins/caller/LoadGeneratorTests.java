package org.dogwoodwood.standins.caller;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerRequest;
import java.util.List;
import java.util.function.Consumer;
import org.dogwoodwood.standins.support.Address;
import org.dogwoodwood.standins.target.StandinTarget;
import org.dogwoodwood.standins.target.TargetOptions;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against a load tool that counts wrong, truncated or missing answers as correct. */
class LoadGeneratorTests {

    private final Vertx vertx = Vertx.vertx();

    @AfterEach
    void stop() {
        vertx.close().await();
    }

    @Test
    void countsWholeAnswersAndExecutions() {
        Address target =
                Address.local(
                        StandinTarget.start(vertx, TargetOptions.warm("outings", 20, 1))
                                .await()
                                .port());

        LoadResult result = run(target, 100);
        ExecutionReport.Summary executions =
                ExecutionReport.of(vertx, List.of(target), 0, Long.MAX_VALUE).await();

        assertThat(result.count(CallResult.ANSWERED)).isEqualTo(100);
        assertThat(result.latencies().get("outings").getTotalCount()).isEqualTo(100);
        assertThat(executions.total()).isEqualTo(100);
        assertThat(executions.inWindow()).isEqualTo(100);
        assertThat(executions.keys()).isEqualTo(result.nonIdempotent()).isPositive();
        assertThat(executions.repeatedKeys()).isEmpty();
    }

    @Test
    void reportsAnswersToOtherRequestsAsWrong() {
        Address server = server(request -> request.response().end("other\nend"));

        assertThat(run(server, 10).count(CallResult.WRONG)).isEqualTo(10);
    }

    @Test
    void reportsTruncatedAnswersAsLost() {
        Address server =
                server(
                        request -> {
                            request.response().putHeader("Content-Length", "500").write("part");
                            request.connection().close();
                        });

        assertThat(run(server, 10).count(CallResult.LOST)).isEqualTo(10);
    }

    @Test
    void distinguishesRefusedFromUnknownCalls() {
        Address refusing = server(request -> refuse(request, "not-run"));
        Address uncertain = server(request -> refuse(request, "unknown"));

        assertThat(run(refusing, 5).count(CallResult.REFUSED)).isEqualTo(5);
        assertThat(run(uncertain, 5).count(CallResult.UNKNOWN)).isEqualTo(5);
    }

    private LoadResult run(Address node, int callsPerSecond) {
        LoadOptions options = LoadOptions.of(List.of(node), List.of("outings"), callsPerSecond, 1);
        return LoadGenerator.run(vertx, options).await();
    }

    private Address server(Consumer<HttpServerRequest> handler) {
        return Address.local(
                vertx.createHttpServer()
                        .requestHandler(handler::accept)
                        .listen(0, "127.0.0.1")
                        .await()
                        .actualPort());
    }

    private static void refuse(HttpServerRequest request, String outcome) {
        request.response().setStatusCode(503).putHeader("Dogwoodwood-Outcome", outcome).end("{}");
    }
}
