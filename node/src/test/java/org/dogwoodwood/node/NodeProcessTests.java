package org.dogwoodwood.node;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.dogwoodwood.core.model.NodeId;
import org.dogwoodwood.node.logging.EventLog;
import org.dogwoodwood.node.settings.Budgets;
import org.dogwoodwood.node.settings.Endpoint;
import org.dogwoodwood.node.settings.NodeSettings;
import org.dogwoodwood.node.support.StubControlPlane;
import org.dogwoodwood.node.support.Waiting;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that are lost when SIGTERM arrives just after a node has opened its
 * ports, since the process ended at once until the start had completed.
 */
class NodeProcessTests {

    private static final String ADDRESS = "127.0.0.1";
    private static final int CONNECT_MILLIS = 500;
    private static final int JOIN_MILLIS = 15_000;
    private static final int START_MILLIS = 3_000;
    private static final int LEAVE_MILLIS = 2_500;

    private final Vertx vertx = Vertx.vertx();

    @AfterEach
    void stop() {
        Waiting.get(vertx.close());
    }

    @Test
    void isPreparedForASignalBeforeItsPortsOpen() throws Exception {
        Endpoint callers = freeEndpoint();
        NodeSettings settings = settings(callers);
        Node node =
                Node.create(
                        vertx,
                        settings,
                        1,
                        NodeComponents.of(context -> new StubControlPlane()),
                        EventLog.create());
        AtomicReference<Thread> handler = new AtomicReference<>();
        boolean started =
                NodeProcess.start(
                        vertx,
                        node,
                        settings,
                        EventLog.create(),
                        ProcessEnd.create(EventLog.create(), status -> {}),
                        thread -> {
                            assertThat(isOpen(callers)).isFalse();
                            handler.set(thread);
                            // The signal arrives while the node starts.
                            thread.start();
                        });

        assertThat(started).isTrue();
        handler.get().join(JOIN_MILLIS);
        assertThat(handler.get().isAlive()).isFalse();
        assertThat(isOpen(callers)).as("the node has stopped").isFalse();
    }

    /**
     * Guards against a process that is killed at the end of its grace time, since it was told to
     * end while it started and the time of its stop counted from the end of the start.
     */
    @Test
    void theTimesOfAStopCountFromTheSignal() throws Exception {
        Endpoint callers = freeEndpoint();
        NodeSettings settings = settings(callers, new Budgets(20, 0.01, 400, 1, LEAVE_MILLIS));
        StubControlPlane control = new StubControlPlane();
        control.setStart(vertx.timer(START_MILLIS, TimeUnit.MILLISECONDS).mapEmpty());
        Node node =
                Node.create(
                        vertx, settings, 1, NodeComponents.of(any -> control), EventLog.create());
        AtomicReference<Thread> handler = new AtomicReference<>();
        long signalNanos = System.nanoTime();
        NodeProcess.start(
                vertx,
                node,
                settings,
                EventLog.create(),
                ProcessEnd.create(EventLog.create(), status -> {}),
                thread -> {
                    handler.set(thread);
                    thread.start();
                });

        handler.get().join(JOIN_MILLIS);
        assertThat(handler.get().isAlive()).isFalse();
        assertThat(System.nanoTime() - signalNanos)
                .isLessThan(TimeUnit.MILLISECONDS.toNanos(START_MILLIS + LEAVE_MILLIS));
    }

    private static NodeSettings settings(Endpoint callers) {
        return settings(callers, new Budgets(20, 0.01, 400, 1));
    }

    private static NodeSettings settings(Endpoint callers, Budgets budgets) {
        return new NodeSettings(
                NodeId.of("node"),
                "north",
                callers,
                Optional.empty(),
                Endpoint.of(ADDRESS, 0),
                Endpoint.of(ADDRESS, 0),
                Optional.empty(),
                Optional.empty(),
                List.of(),
                Optional.empty(),
                budgets);
    }

    private static boolean isOpen(Endpoint address) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(address.host(), address.port()), CONNECT_MILLIS);
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private static Endpoint freeEndpoint() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return Endpoint.of(ADDRESS, socket.getLocalPort());
        }
    }
}
