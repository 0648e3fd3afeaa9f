package org.dogwoodwood.node.guard;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.dogwoodwood.core.measurement.MeasurementBudget;
import org.dogwoodwood.core.model.TargetState;
import org.dogwoodwood.node.logging.EventLog;
import org.dogwoodwood.node.metrics.NodeMetrics;
import org.dogwoodwood.node.settings.Endpoint;
import org.dogwoodwood.node.support.Waiting;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against errors in the state of a target that announces itself, such as taking it out of
 * service only because its health check fails.
 */
class TargetMonitorTests {

    private static final int UNAVAILABLE = 503;
    private static final int ANNOUNCEMENT_MILLIS = 500;

    private static final String HELD_PATH = "/held";
    private static final String IDENTIFIED_PATH = "/identified";

    private final Vertx vertx = Vertx.vertx();
    private final AtomicInteger polls = new AtomicInteger();
    private final Promise<Void> heldPoll = Promise.promise();
    private TargetMonitor monitor;
    private Endpoint address;
    private volatile String healthPath = "/health";
    private volatile String instance = "i-1";
    private final LoadCounter listener = new LoadCounter();

    @BeforeEach
    void start() {
        HttpServer server =
                vertx.createHttpServer()
                        .requestHandler(
                                request -> {
                                    polls.incrementAndGet();
                                    if (request.path().equals(IDENTIFIED_PATH)) {
                                        request.response()
                                                .putHeader("Instance", instance)
                                                .putHeader("Slowdown", "7")
                                                .end();
                                        return;
                                    }
                                    if (request.path().equals(HELD_PATH)) {
                                        heldPoll.future()
                                                .onSuccess(done -> request.response().end());
                                        return;
                                    }
                                    request.response().setStatusCode(UNAVAILABLE).end();
                                });
        int port = Waiting.get(server.listen(0, "127.0.0.1")).actualPort();
        address = Endpoint.of("127.0.0.1", port);
        MeasurementBudget budget = MeasurementBudget.of(50, 0, System.nanoTime());
        monitor =
                new TargetMonitor(
                        vertx,
                        new SelfAnnouncingProtocol(),
                        service -> healthPath,
                        budget,
                        EventLog.create(),
                        NodeMetrics.create(),
                        listener);
        monitor.start();
    }

    @AfterEach
    void stop() {
        Waiting.get(vertx.close());
    }

    @Test
    void keepsAnnouncingTargetInServiceDespiteFailingHealth() throws Exception {
        while (polls.get() < 6) {
            monitor.onAnnouncement(announcement(false));
            TimeUnit.MILLISECONDS.sleep(ANNOUNCEMENT_MILLIS);
            assertThat(monitor.state()).isEqualTo(TargetState.WARM);
        }
    }

    @Test
    void doesNotPollDrainingTarget() throws Exception {
        monitor.onAnnouncement(announcement(true));
        TimeUnit.MILLISECONDS.sleep(600);

        assertThat(polls.get()).isZero();
        assertThat(monitor.state()).isEqualTo(TargetState.DRAINING);
    }

    /** Guards against full load on a cold target after the return of its data centre. */
    @Test
    void staysColdAfterReturnUntilNextAnnouncement() {
        monitor.onAnnouncement(announcement(false));
        monitor.assumeCold();
        assertThat(monitor.state()).isEqualTo(TargetState.COLD);

        monitor.onAnnouncement(announcement(false));
        assertThat(monitor.state()).isEqualTo(TargetState.WARM);
    }

    /** Guards against a stale poll result that marks a target as warm which is cold since then. */
    @Test
    void ignoresPollStartedBeforeTargetWasAssumedCold() throws Exception {
        healthPath = HELD_PATH;
        monitor.onAnnouncement(announcement(false));
        monitor.pollNow();
        Waiting.until("the target is polled", () -> polls.get() == 1);
        healthPath = "/health";
        monitor.assumeCold();

        heldPoll.complete();
        TimeUnit.MILLISECONDS.sleep(300);

        assertThat(monitor.state()).isEqualTo(TargetState.COLD);
    }

    /**
     * Guards against calls to a target of another service: a health check tells which process
     * answers, but not its service, and addresses of ended targets are used again.
     */
    @Test
    void onlyAnAnnouncementBringsAnotherProcessIntoService() throws Exception {
        healthPath = IDENTIFIED_PATH;
        monitor.onAnnouncement(announcement(false));
        monitor.pollNow();
        Waiting.until("its health check is read", () -> listener.loads.get() == 1);
        assertThat(monitor.state()).isEqualTo(TargetState.WARM);

        instance = "i-2";
        monitor.pollNow();
        Waiting.until("the target is out of service", () -> monitor.state() == TargetState.DOWN);
        TimeUnit.MILLISECONDS.sleep(ANNOUNCEMENT_MILLIS);
        assertThat(monitor.state()).isEqualTo(TargetState.DOWN);
        assertThat(monitor.announcement().orElseThrow().instance()).contains("i-1");
        assertThat(listener.loads.get()).as("loads of its own target").isEqualTo(1);

        monitor.onAnnouncement(announcement("i-2", false));
        assertThat(monitor.state()).isEqualTo(TargetState.WARM);
    }

    /**
     * Guards against a late announcement of an ended target that keeps its successor in service.
     */
    @Test
    void aLateAnnouncementDoesNotKeepAnotherProcessInService() throws Exception {
        healthPath = IDENTIFIED_PATH;
        instance = "i-2";
        monitor.onAnnouncement(announcement(false));
        monitor.onCallEnded(TargetResult.Kind.MISDIRECTED);
        Waiting.until("the target is out of service", () -> monitor.state() == TargetState.DOWN);
    }

    /** Guards against a crash that counts twice against the requests that were in flight. */
    @Test
    void aCrashIsReportedOnce() throws Exception {
        healthPath = IDENTIFIED_PATH;
        monitor.onAnnouncement(announcement(false));
        monitor.pollNow();
        Waiting.until("its health check is read", () -> listener.loads.get() == 1);

        monitor.onCallEnded(TargetResult.Kind.CONNECT_FAILED);
        instance = "i-2";
        monitor.onAnnouncement(announcement("i-2", false));
        monitor.pollNow();
        Waiting.until("the next process is polled", () -> listener.loads.get() == 2);
        assertThat(monitor.state()).isEqualTo(TargetState.WARM);
        assertThat(listener.crashes.get()).isEqualTo(1);
    }

    private TargetAnnouncement announcement(boolean draining) {
        return announcement("i-1", draining);
    }

    private TargetAnnouncement announcement(String announced, boolean draining) {
        return new TargetAnnouncement(
                "shop",
                address,
                4,
                9,
                4,
                false,
                draining,
                Optional.of(announced),
                Optional.empty());
    }

    /** Counts the loads that are taken from health checks, and the crashes. */
    private static final class LoadCounter extends IgnoringListener {

        private final AtomicInteger loads = new AtomicInteger();
        private final AtomicInteger crashes = new AtomicInteger();

        @Override
        public void onCrash() {
            crashes.incrementAndGet();
        }

        @Override
        public void onLoad(ReportedLoad load) {
            loads.incrementAndGet();
        }
    }
}
