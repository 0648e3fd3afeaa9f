package org.dogwoodwood.core.rollout;

import java.util.Arrays;

/**
 * Counts of latencies in classes whose bounds grow by the square root of 2, from 1 ms. Counts of
 * all nodes are added up and compared class by class, so the bounds are fixed. Immutable.
 */
public final class LatencyClasses {

    /** The last class begins at 32 s, above the time-out of calls. */
    public static final int CLASSES = 32;

    private static final double NANOS_PER_MILLI = 1e6;
    private static final double CLASSES_PER_OCTAVE = 2;
    private static final LatencyClasses EMPTY = new LatencyClasses(new int[CLASSES]);

    private final int[] counts;

    private LatencyClasses(int[] counts) {
        this.counts = counts;
    }

    /** Returns classes without latencies. */
    public static LatencyClasses empty() {
        return EMPTY;
    }

    /** Returns the class of a latency. */
    public static int classOf(long latencyNanos) {
        double millis = latencyNanos / NANOS_PER_MILLI;
        if (millis < 1) {
            return 0;
        }
        int octaves = (int) (Math.log(millis) / Math.log(2) * CLASSES_PER_OCTAVE);
        return Math.min(CLASSES - 1, 1 + octaves);
    }

    /** Returns classes with the given counts; counts beyond the last class are ignored. */
    public static LatencyClasses of(int... counts) {
        return new LatencyClasses(Arrays.copyOf(counts, CLASSES));
    }

    /** Returns these counts with the given number added to one class. */
    public LatencyClasses plus(int latencyClass, int number) {
        int[] sum = counts.clone();
        sum[latencyClass] += number;
        return new LatencyClasses(sum);
    }

    /** Returns the sum of these counts and others. */
    public LatencyClasses plus(LatencyClasses other) {
        return combine(other, 1);
    }

    /** Returns these counts without others that they include. */
    public LatencyClasses minus(LatencyClasses other) {
        return combine(other, -1);
    }

    /** Returns the number of latencies in a class. */
    public int count(int latencyClass) {
        return counts[latencyClass];
    }

    /** Returns the number of latencies. */
    public int total() {
        return countFrom(0);
    }

    /** Returns the number of latencies in a class and all higher ones. */
    public int countFrom(int latencyClass) {
        int sum = 0;
        for (int i = Math.max(0, latencyClass); i < CLASSES; i++) {
            sum += counts[i];
        }
        return sum;
    }

    /** Returns the class of the median, or 0 without latencies. */
    public int medianClass() {
        int half = (total() + 1) / 2;
        int sum = 0;
        for (int i = 0; i < CLASSES; i++) {
            sum += counts[i];
            if (sum >= half && sum > 0) {
                return i;
            }
        }
        return 0;
    }

    private LatencyClasses combine(LatencyClasses other, int sign) {
        int[] result = counts.clone();
        for (int i = 0; i < CLASSES; i++) {
            result[i] = Math.max(0, result[i] + sign * other.counts[i]);
        }
        return new LatencyClasses(result);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof LatencyClasses classes && Arrays.equals(counts, classes.counts);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(counts);
    }

    @Override
    public String toString() {
        return Arrays.toString(counts);
    }
}
