package org.dogwoodwood.node.logging;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/**
 * Writes lines on a separate thread, so that a stalled reader of the log does not delay calls. If
 * the queue is full, lines are dropped and counted. The queue is bounded in lines and in
 * characters. May be used on any thread.
 */
final class LogWriter {

    private static final int MAX_QUEUED_LINES = 8_192;

    // Lines contain ids that callers choose, so that their number alone does not bound the memory.
    private static final int MAX_QUEUED_CHARS = 4 << 20;

    private static final long FLUSH_MILLIS = 500;
    private static final long FLUSH_POLL_MILLIS = 5;

    private final BlockingQueue<Line> queue = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
    private final AtomicLong dropped = new AtomicLong();

    // Includes the lines that are being written.
    private final AtomicLong queuedChars = new AtomicLong();
    private final Consumer<Line> output;
    private volatile boolean writing;
    private boolean ended;

    private LogWriter(Consumer<Line> output) {
        this.output = Objects.requireNonNull(output, "output");
    }

    /** Returns a writer whose thread has started. */
    static LogWriter start(Consumer<Line> output) {
        LogWriter writer = new LogWriter(output);
        Thread thread = new Thread(writer::run, "dogwoodwood-log");
        thread.setDaemon(true);
        thread.start();
        return writer;
    }

    /** Queues a line and returns true, or counts it as dropped and returns false. */
    synchronized boolean write(Line line) {
        if (ended) {
            return false;
        }
        int chars = line.text().length();
        boolean accepted = chars <= MAX_QUEUED_CHARS - queuedChars.get() && queue.offer(line);
        if (accepted) {
            queuedChars.addAndGet(chars);
        } else {
            dropped.incrementAndGet();
        }
        return accepted;
    }

    /** Queues a line after which no other line is accepted. */
    synchronized void writeLast(Line line) {
        write(line);
        ended = true;
    }

    /** Returns the number of dropped lines. */
    long dropped() {
        return dropped.get();
    }

    /** Waits until queued lines are written, at most {@link #FLUSH_MILLIS}. */
    void flush() {
        long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(FLUSH_MILLIS);
        try {
            while ((writing || !queue.isEmpty()) && System.nanoTime() - untilNanos < 0) {
                Thread.sleep(FLUSH_POLL_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void run() {
        List<Line> batch = new ArrayList<>();
        try {
            while (true) {
                batch.add(queue.take());
                writing = true;
                queue.drainTo(batch);
                batch.forEach(this::output);
                batch.clear();
                writing = false;
            }
        } catch (InterruptedException e) {
            // The thread is interrupted only when the process ends.
            Thread.currentThread().interrupt();
        }
    }

    private void output(Line line) {
        output.accept(line);
        queuedChars.addAndGet(-line.text().length());
    }

    /**
     * A queued line.
     *
     * @param severity the severity of its event
     * @param text the line without timestamp and severity
     */
    record Line(Severity severity, String text) {}
}
