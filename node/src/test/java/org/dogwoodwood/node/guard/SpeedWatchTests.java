package org.dogwoodwood.node.guard;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Context;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.atomic.AtomicInteger;
import org.dogwoodwood.codec.wire.CallFrame;
import org.dogwoodwood.codec.wire.RequestContent;
import org.dogwoodwood.core.admission.AdmissionController;
import org.dogwoodwood.core.admission.DefaultAdmissionController;
import org.dogwoodwood.core.admission.TargetCapacity;
import org.dogwoodwood.core.calls.AttemptId;
import org.dogwoodwood.core.configuration.PolicyDefinition;
import org.dogwoodwood.core.measurement.MeasurementBudget;
import org.dogwoodwood.core.model.CallId;
import org.dogwoodwood.core.model.NodeId;
import org.dogwoodwood.node.logging.EventLog;
import org.dogwoodwood.node.metrics.NodeMetrics;
import org.dogwoodwood.node.settings.Endpoint;
import org.dogwoodwood.node.support.Waiting;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against calls that start in a slow phase of the target not detected by the guard. */
class SpeedWatchTests {

    private static final long STALE_NANOS = 100_000_000L;

    private final Vertx vertx = Vertx.vertx();
    private final Context loop = vertx.getOrCreateContext();
    private final AtomicInteger polls = new AtomicInteger();
    private final AdmissionController admission =
            DefaultAdmissionController.create(
                    PolicyDefinition.withDefaults("default"),
                    Map.of(),
                    new TargetCapacity(4, 8, 4, false, 1),
                    System.nanoTime());
    private volatile boolean pollsHang;
    private TargetMonitor monitor;
    private SpeedWatch watch;

    @BeforeEach
    void start() {
        HttpServer server =
                vertx.createHttpServer()
                        .requestHandler(
                                request -> {
                                    polls.incrementAndGet();
                                    if (!pollsHang) {
                                        request.response()
                                                .putHeader(SelfAnnouncingProtocol.SLOWDOWN, "7.0")
                                                .end("{}");
                                    }
                                });
        int port = Waiting.get(server.listen(0, "127.0.0.1")).actualPort();
        monitor =
                new TargetMonitor(
                        vertx,
                        new SelfAnnouncingProtocol(),
                        service -> "/health",
                        MeasurementBudget.of(1_000, 0, System.nanoTime()),
                        EventLog.create(),
                        NodeMetrics.create(),
                        new SlowdownListener());
        watch = new SpeedWatch(vertx, monitor, () -> admission);
        monitor.onAnnouncement(
                new TargetAnnouncement(
                        "shop",
                        Endpoint.of("127.0.0.1", port),
                        4,
                        9,
                        4,
                        false,
                        false,
                        Optional.of("i-1"),
                        Optional.empty()));
        monitor.onLoad(System.nanoTime());
    }

    @AfterEach
    void stop() {
        Waiting.get(vertx.close());
    }

    @Test
    void doesNotDelayCallWhileSpeedIsFresh() {
        assertThat(watch.delayIfSpeedIsStale(call(), System.nanoTime())).isFalse();
        assertThat(polls.get()).isZero();
    }

    @Test
    void pollsForStaleSpeedBeforeCallStarts() {
        GuardedCall call = call();
        long laterNanos = System.nanoTime() + STALE_NANOS;

        assertThat(onLoop(() -> watch.delayIfSpeedIsStale(call, laterNanos))).isTrue();
        Waiting.until("the target has reported that it is slow", () -> admission.isHolding(now()));
        assertThat(polls.get()).isEqualTo(1);
        assertThat(watch.takeDelayed()).containsExactly(call);
    }

    // A target whose health check hangs may still run calls; they must not wait until the poll
    // fails.
    @Test
    void doesNotDelayCallsOfATargetThatDoesNotAnswerPolls() {
        pollsHang = true;
        long laterNanos = System.nanoTime() + STALE_NANOS;
        watch.delayIfSpeedIsStale(call(), laterNanos);

        assertThat(watch.isDelayOverdue(laterNanos)).isFalse();
        assertThat(watch.isDelayOverdue(laterNanos + STALE_NANOS)).isTrue();
    }

    @Test
    void removesDelayedCall() {
        GuardedCall call = call();
        watch.delayIfSpeedIsStale(call, System.nanoTime() + STALE_NANOS);

        assertThat(watch.remove(call)).isTrue();
        assertThat(watch.isDelaying()).isFalse();
        assertThat(watch.remove(call)).isFalse();
    }

    /** Calls on one event loop, on which the poll cannot end before the call returns. */
    private <T> T onLoop(Callable<T> action) {
        Promise<T> result = Promise.promise();
        loop.runOnContext(
                ignored -> {
                    try {
                        result.complete(action.call());
                    } catch (Exception e) {
                        result.fail(e);
                    }
                });
        return Waiting.get(result.future());
    }

    private static long now() {
        return System.nanoTime();
    }

    private static GuardedCall call() {
        CallFrame frame =
                new CallFrame(
                        AttemptId.of(CallId.of(NodeId.of("ingress"), 1, 1), 0),
                        1,
                        "shop",
                        "default",
                        RequestContent.of("GET", "/", List.of(), new byte[0]),
                        1_000,
                        400,
                        true,
                        Optional.empty(),
                        0,
                        0,
                        true);
        return new GuardedCall(frame, frame.toDescription(now()), false, answer -> {}, now());
    }

    private final class SlowdownListener extends IgnoringListener {

        @Override
        public void onLoad(ReportedLoad load) {
            admission.onSlowdown(load.slowdown(), System.nanoTime());
        }
    }
}
