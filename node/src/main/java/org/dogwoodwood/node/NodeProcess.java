package org.dogwoodwood.node;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
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
     * Starts a node and registers a shutdown hook, so that SIGTERM stops it gracefully.
     *
     * @return whether the node accepts requests; if not, the reason has been logged and Vert.x
     *     closed
     */
    public static boolean start(Vertx vertx, Node node, NodeSettings settings, EventLog log) {
        try {
            node.start()
                    .toCompletionStage()
                    .toCompletableFuture()
                    .get(START_SECONDS, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException | InterruptedException e) {
            Throwable cause = e instanceof ExecutionException ? e.getCause() : e;
            log.write(LogEvent.NODE_FAILED, "message", String.valueOf(cause));
            log.flush();
            vertx.close();
            return false;
        }
        int limitSeconds =
                settings.budgets().stopSeconds()
                        + settings.budgets().leaveMillis() / MILLIS_PER_SECOND
                        + STOP_MARGIN_SECONDS;
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(node, log, limitSeconds)));
        return true;
    }

    private static void stop(Node node, EventLog log, int limitSeconds) {
        try {
            node.stop()
                    .toCompletionStage()
                    .toCompletableFuture()
                    .get(limitSeconds, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException | InterruptedException e) {
            log.write(LogEvent.NODE_FAILED, "message", "The graceful stop failed: " + e);
        }
        log.flush();
    }
}
