package org.dogwoodwood.node;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.dogwoodwood.node.logging.EventLog;
import org.dogwoodwood.node.logging.LogEvent;
import org.dogwoodwood.node.settings.NodeSettings;

/** Runs a node as the only one of its process and stops it gracefully when the process ends. */
public final class NodeProcess {

    // One event loop for traffic and one for the control plane, if both can run at a time.
    private static final int MAX_EVENT_LOOP_THREADS = 2;
    private static final int WORKER_THREADS = 2;
    private static final int START_SECONDS = 30;
    private static final int STOP_MARGIN_SECONDS = 5;
    private static final int MILLIS_PER_SECOND = 1_000;

    private NodeProcess() {}

    /** Creates the Vert.x instance of a node's process. */
    public static Vertx createVertx() {
        // The VMs have no disks, so Vert.x must not cache anything in files.
        FileSystemOptions files =
                new FileSystemOptions()
                        .setFileCachingEnabled(false)
                        .setClassPathResolvingEnabled(false);
        return Vertx.vertx(
                new VertxOptions()
                        .setEventLoopPoolSize(eventLoopThreads())
                        .setWorkerPoolSize(WORKER_THREADS)
                        .setInternalBlockingPoolSize(WORKER_THREADS)
                        .setFileSystemOptions(files));
    }

    private static int eventLoopThreads() {
        return Math.min(MAX_EVENT_LOOP_THREADS, Runtime.getRuntime().availableProcessors());
    }

    /**
     * Starts a node that SIGTERM stops gracefully, at any time from now on.
     *
     * @return whether the node accepts requests; if not, the reason has been logged and Vert.x
     *     closed
     */
    public static boolean start(Vertx vertx, Node node, NodeSettings settings, EventLog log) {
        ProcessEnd end = ProcessEnd.create(log, System::exit);
        end.watchProcess();
        end.watchEventLoops(vertx);
        return start(vertx, node, settings, log, end, Runtime.getRuntime()::addShutdownHook);
    }

    /**
     * Starts a node in a process that has other nodes or other tasks, and so does not end with the
     * event loops of the node. SIGTERM stops the node gracefully.
     *
     * @return whether the node accepts requests; if not, the reason has been logged and Vert.x
     *     closed
     */
    public static boolean startEmbedded(
            Vertx vertx, Node node, NodeSettings settings, EventLog log) {
        ProcessEnd end = ProcessEnd.create(log, status -> {});
        return start(vertx, node, settings, log, end, Runtime.getRuntime()::addShutdownHook);
    }

    /**
     * Starts a node.
     *
     * @param end logs why the process ends
     * @param signals registers a thread that runs when the process is told to end
     */
    static boolean start(
            Vertx vertx,
            Node node,
            NodeSettings settings,
            EventLog log,
            ProcessEnd end,
            Consumer<Thread> signals) {
        CompletableFuture<Void> started = new CompletableFuture<>();
        AtomicBoolean stopping = new AtomicBoolean();
        // Before the ports open: without a hook, SIGTERM ends the process at once, and with it the
        // requests that it has read.
        signals.accept(
                new Thread(
                        () -> {
                            stopping.set(true);
                            if (!end.hasEndedLoop()) {
                                stop(node, started, log, settings);
                            }
                            end.logCause();
                        }));
        node.start().onSuccess(started::complete).onFailure(started::completeExceptionally);
        try {
            awaitStart(node, started);
            return true;
        } catch (ExecutionException | TimeoutException | InterruptedException e) {
            started.completeExceptionally(e);
            if (!stopping.get()) {
                end.record(EndCause.START_FAILED);
                Throwable cause = e instanceof ExecutionException ? e.getCause() : e;
                log.write(LogEvent.NODE_FAILED, "message", String.valueOf(cause));
                log.flush();
            }
            vertx.close();
            return false;
        }
    }

    /** Waits until a node has started; the time in which it waits for a port does not count. */
    private static void awaitStart(Node node, CompletableFuture<Void> started)
            throws ExecutionException, TimeoutException, InterruptedException {
        while (true) {
            try {
                started.get(START_SECONDS, TimeUnit.SECONDS);
                return;
            } catch (TimeoutException e) {
                if (node.ports().waitingPorts() == 0) {
                    throw e;
                }
            }
        }
    }

    private static int stopSeconds(NodeSettings settings) {
        return settings.budgets().stopSeconds()
                + settings.budgets().leaveMillis() / MILLIS_PER_SECOND
                + STOP_MARGIN_SECONDS;
    }

    /**
     * Stops a node once it has started. A node that waits for a port is not started any more: it
     * has no calls in flight.
     */
    private static void stop(
            Node node, CompletableFuture<Void> started, EventLog log, NodeSettings settings) {
        // The grace time runs while the node still starts.
        StopSchedule schedule = StopSchedule.of(settings.budgets(), System.nanoTime());
        node.ports().stopWaiting();
        try {
            started.get(START_SECONDS, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException | InterruptedException e) {
            log.write(LogEvent.NODE_STOPPED, "node", node.identity().node());
            log.flush();
            return;
        }
        try {
            node.stop(schedule)
                    .toCompletionStage()
                    .toCompletableFuture()
                    .get(stopSeconds(settings), TimeUnit.SECONDS);
        } catch (ExecutionException
                | TimeoutException
                | InterruptedException
                | RejectedExecutionException e) {
            log.write(LogEvent.NODE_FAILED, "message", "The graceful stop failed: " + e);
        }
    }
}
