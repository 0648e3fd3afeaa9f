package org.dogwoodwood.node.metrics;

import com.codahale.metrics.Snapshot;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.HistogramIterationValue;

/** A snapshot of the values of an {@link HdrReservoir}. */
final class HdrSnapshot extends Snapshot {

    private static final double PERCENT = 100.0;

    private final Histogram histogram;

    HdrSnapshot(Histogram histogram) {
        this.histogram = histogram;
    }

    @Override
    public double getValue(double quantile) {
        return histogram.getValueAtPercentile(quantile * PERCENT);
    }

    @Override
    public long[] getValues() {
        long[] values = new long[size()];
        int next = 0;
        for (HistogramIterationValue value : histogram.recordedValues()) {
            for (long i = 0; i < value.getCountAtValueIteratedTo() && next < values.length; i++) {
                values[next++] = value.getValueIteratedTo();
            }
        }
        return values;
    }

    @Override
    public int size() {
        return (int) Math.min(Integer.MAX_VALUE, histogram.getTotalCount());
    }

    @Override
    public long getMax() {
        return histogram.getMaxValue();
    }

    @Override
    public double getMean() {
        return histogram.getMean();
    }

    @Override
    public long getMin() {
        return histogram.getTotalCount() == 0 ? 0 : histogram.getMinValue();
    }

    @Override
    public double getStdDev() {
        return histogram.getStdDeviation();
    }

    @Override
    public void dump(OutputStream output) {
        PrintStream out = new PrintStream(output, true, StandardCharsets.UTF_8);
        for (long value : getValues()) {
            out.println(value);
        }
    }
}
