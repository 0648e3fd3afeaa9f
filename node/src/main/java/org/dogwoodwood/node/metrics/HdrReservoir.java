package org.dogwoodwood.node.metrics;

import com.codahale.metrics.Reservoir;
import com.codahale.metrics.Snapshot;
import org.HdrHistogram.Histogram;

/**
 * A reservoir that keeps the values of the current and the previous window in HdrHistograms, since
 * sampling would distort high quantiles. May be used on any thread.
 */
final class HdrReservoir implements Reservoir {

    private static final long WINDOW_NANOS = 30_000_000_000L;
    private static final int SIGNIFICANT_DIGITS = 2;

    // Ten minutes in microseconds, the maximum timeout of a call.
    private static final long MAX_RECORDED_MICROS = 600_000_000L;

    private Histogram current = newHistogram();
    private Histogram previous = newHistogram();
    private long windowStartNanos = System.nanoTime();

    @Override
    public synchronized int size() {
        return (int) Math.min(Integer.MAX_VALUE, mergeWindows().getTotalCount());
    }

    @Override
    public synchronized void update(long value) {
        rotate(System.nanoTime());
        current.recordValue(Math.max(0, Math.min(value, MAX_RECORDED_MICROS)));
    }

    @Override
    public synchronized Snapshot getSnapshot() {
        rotate(System.nanoTime());
        return new HdrSnapshot(mergeWindows());
    }

    private void rotate(long nowNanos) {
        long elapsed = nowNanos - windowStartNanos;
        if (elapsed < WINDOW_NANOS) {
            return;
        }
        Histogram recycled = previous;
        recycled.reset();
        previous = current;
        current = recycled;
        if (elapsed >= 2 * WINDOW_NANOS) {
            previous.reset();
        }
        windowStartNanos = nowNanos;
    }

    private Histogram mergeWindows() {
        Histogram sum = newHistogram();
        sum.add(previous);
        sum.add(current);
        return sum;
    }

    private static Histogram newHistogram() {
        Histogram histogram = new Histogram(SIGNIFICANT_DIGITS);
        histogram.setAutoResize(true);
        return histogram;
    }
}
