package org.dogwoodwood.node.loop;

import io.vertx.core.Vertx;
import io.vertx.core.internal.ContextInternal;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Runs actions in the order of submission, after the event loop has read its sockets once more;
 * used on one event loop only.
 *
 * <p>When a busy loop reads a socket, it may contain both a request and the close of its
 * connection, or both a call and its cancellation. An action that starts work for a request is
 * therefore submitted to this queue and checks, when it runs, that the work has not been cancelled.
 */
public final class ReadFirstQueue {

    // The longest time that a batch of actions runs. Sockets are read between batches, so that a
    // close or cancellation that arrives meanwhile is seen long before it is half a second old.
    private static final long MAX_BATCH_NANOS = 20_000_000L;

    private final Vertx vertx;
    private final Deque<Entry> waiting = new ArrayDeque<>();
    private long readCount;
    private Future<?> nextRun;

    private ReadFirstQueue(Vertx vertx) {
        this.vertx = Objects.requireNonNull(vertx, "vertx");
    }

    /** Returns an empty queue. */
    public static ReadFirstQueue create(Vertx vertx) {
        return new ReadFirstQueue(vertx);
    }

    /** Runs an action on the current context, after the sockets have been read. */
    public void execute(Runnable action) {
        Objects.requireNonNull(action, "action");
        ContextInternal context = (ContextInternal) vertx.getOrCreateContext();
        waiting.add(new Entry(context, action, readCount));
        schedule(context);
    }

    // The event loop runs scheduled tasks once in each iteration, after it has read its sockets and
    // called the handlers for the data. Tasks that are executed without a schedule may still run in
    // the same iteration.
    private void schedule(ContextInternal context) {
        if (nextRun == null) {
            nextRun =
                    context.nettyEventLoop()
                            .schedule(() -> runDueEntries(context), 0, TimeUnit.NANOSECONDS);
        }
    }

    private void runDueEntries(ContextInternal context) {
        nextRun = null;
        long startNanos = System.nanoTime();
        while (isNextDue() && System.nanoTime() - startNanos < MAX_BATCH_NANOS) {
            Entry next = waiting.remove();
            next.context().dispatch(ignored -> next.action().run());
        }
        readCount++;
        if (!waiting.isEmpty()) {
            schedule(context);
        }
    }

    private boolean isNextDue() {
        return !waiting.isEmpty() && waiting.peek().readCount() < readCount;
    }

    private record Entry(ContextInternal context, Runnable action, long readCount) {}
}
