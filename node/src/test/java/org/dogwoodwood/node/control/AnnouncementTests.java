package org.dogwoodwood.node.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import org.dogwoodwood.core.membership.MemberTarget;
import org.dogwoodwood.core.membership.NodeAddress;
import org.dogwoodwood.core.model.NodeId;
import org.dogwoodwood.core.model.TargetState;
import org.dogwoodwood.node.logging.EventLog;
import org.dogwoodwood.node.settings.Endpoint;
import org.dogwoodwood.node.support.Waiting;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class AnnouncementTests {

    private final Vertx vertx = Vertx.vertx();
    private final LaggingLog log = new LaggingLog();

    @AfterEach
    void close() {
        Waiting.get(vertx.close());
    }

    /**
     * Guards against a node that appends its announcement repeatedly while its reader pauses: each
     * of these records completes the long polls of all nodes.
     */
    @Test
    void announcesOnceWhileReaderPauses() {
        DefaultControlPlane control = start();
        control.announceTarget(new MemberTarget("outings", 6, 220, TargetState.WARM));
        Waiting.until("the announcement was appended", () -> log.appends.get() > 0);
        Waiting.sleep(5_000);

        assertThat(log.appends.get()).isEqualTo(1);
        Waiting.get(control.stop());
    }

    private DefaultControlPlane start() {
        ControlSettings settings =
                new ControlSettings(
                        NodeId.of("node-1"),
                        100,
                        new NodeAddress("a", "127.0.0.1", 1, 0),
                        Optional.of(Endpoint.of("127.0.0.1", 1)),
                        List.of(),
                        ControlTimings.forCompactedLog());
        ControlComponents components =
                new ControlComponents(
                        ignored -> log, Optional.empty(), ControlTimings.forCompactedLog(), false);
        DefaultControlPlane control =
                DefaultControlPlane.create(
                        vertx,
                        new InMemoryNetwork(vertx).transport(1),
                        settings,
                        components,
                        new Random(1),
                        EventLog.create());
        Waiting.get(control.start());
        return control;
    }

    /** A log that accepts records but whose long polls never return them. */
    private static final class LaggingLog implements PlatformLog {

        private final AtomicInteger appends = new AtomicInteger();

        @Override
        public Future<Long> append(
                String stream, String subject, String publicationId, byte[] data) {
            return Future.succeededFuture(100L + appends.getAndIncrement());
        }

        @Override
        public Future<Batch> read(String stream, long from, int max, long waitMillis) {
            return waitMillis == 0
                    ? Future.succeededFuture(new Batch(0, 0, List.of(), true))
                    : Promise.<Batch>promise().future();
        }

        @Override
        public Future<Void> close() {
            return Future.succeededFuture();
        }
    }
}
