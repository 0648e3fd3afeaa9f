package org.dogwoodwood.node;

import io.netty.util.concurrent.EventExecutor;
import io.vertx.core.Vertx;
import io.vertx.core.internal.VertxInternal;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.IntConsumer;
import org.dogwoodwood.node.logging.EventLog;
import org.dogwoodwood.node.logging.LogEvent;

/**
 * Logs failures that nothing else catches, and why the process ends. Ends the process if one of its
 * event loops has ended, since it would live and serve nothing. May be used on any thread.
 */
final class ProcessEnd {

    private static final int LOGGED_FRAMES = 4;

    private final EventLog log;
    private final IntConsumer exit;
    private final AtomicReference<EndCause> cause = new AtomicReference<>();

    private ProcessEnd(EventLog log, IntConsumer exit) {
        this.log = Objects.requireNonNull(log, "log");
        this.exit = Objects.requireNonNull(exit, "exit");
    }

    /**
     * Returns an object without a cause.
     *
     * @param log receives the events, not null
     * @param exit ends the process with a status, not null
     */
    static ProcessEnd create(EventLog log, IntConsumer exit) {
        return new ProcessEnd(log, exit);
    }

    /** Watches the process whose main thread is the current one. */
    void watchProcess() {
        TerminationSignal.beforeEnd(() -> record(EndCause.SIGTERM));
        Thread main = Thread.currentThread();
        Thread.setDefaultUncaughtExceptionHandler(
                (thread, failure) -> {
                    logUncaught(thread, failure);
                    if (thread == main) {
                        end(EndCause.START_FAILED);
                    }
                });
    }

    /** Watches the event loops and logs the exceptions that their handlers throw. */
    void watchEventLoops(Vertx vertx) {
        vertx.exceptionHandler(failure -> logUncaught(Thread.currentThread(), failure));
        for (EventExecutor loop : ((VertxInternal) vertx).nettyEventLoopGroup()) {
            loop.terminationFuture().addListener(ended -> end(EndCause.EVENT_LOOP_ENDED));
        }
    }

    /** Records why the process ends; a later cause is ignored. */
    void record(EndCause first) {
        cause.compareAndSet(null, first);
    }

    /** Returns whether an event loop has ended, so that no graceful stop is possible. */
    boolean hasEndedLoop() {
        return cause.get() == EndCause.EVENT_LOOP_ENDED;
    }

    /** Logs the cause as the last line and waits until it is written. */
    void logCause() {
        record(EndCause.UNRECORDED);
        log.writeLast(
                LogEvent.PROCESS_ENDING, "cause", cause.get(), "status", cause.get().status());
    }

    private void end(EndCause next) {
        if (cause.compareAndSet(null, next)) {
            exit.accept(next.status());
        }
    }

    private void logUncaught(Thread thread, Throwable failure) {
        log.write(
                LogEvent.UNCAUGHT_FAILURE,
                "thread",
                thread.getName(),
                "failure",
                failure,
                "at",
                firstFrames(failure));
    }

    private static String firstFrames(Throwable failure) {
        StringBuilder frames = new StringBuilder();
        StackTraceElement[] trace = failure.getStackTrace();
        for (int i = 0; i < Math.min(LOGGED_FRAMES, trace.length); i++) {
            frames.append(i == 0 ? "" : " ").append(trace[i]);
        }
        return frames.toString();
    }
}
