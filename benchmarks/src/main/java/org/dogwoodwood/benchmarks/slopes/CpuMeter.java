package org.dogwoodwood.benchmarks.slopes;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.Arrays;

/** Measures the CPU time of an operation on the calling thread. */
final class CpuMeter {

    private static final int BATCHES = 7;
    private static final long WARM_UP_NANOS = 150_000_000L;
    private static final long BATCH_NANOS = 30_000_000L;

    private CpuMeter() {}

    /**
     * Measures the CPU time of one run.
     *
     * @param operation the operation, repeated many times
     * @return the median over batches of the mean time of one run, in microseconds
     */
    static double microsecondsPerRun(Runnable operation) {
        long runs = countRunsWithin(operation, WARM_UP_NANOS);
        long runsPerBatch = Math.max(1, runs * BATCH_NANOS / WARM_UP_NANOS);
        double[] batches = new double[BATCHES];
        for (int batch = 0; batch < BATCHES; batch++) {
            batches[batch] = batchMicros(operation, runsPerBatch);
        }
        Arrays.sort(batches);
        return batches[BATCHES / 2];
    }

    private static long countRunsWithin(Runnable operation, long nanos) {
        long end = System.nanoTime() + nanos;
        long runs = 0;
        while (System.nanoTime() < end) {
            operation.run();
            runs++;
        }
        return runs;
    }

    private static double batchMicros(Runnable operation, long runs) {
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        long start = threads.getCurrentThreadCpuTime();
        for (long run = 0; run < runs; run++) {
            operation.run();
        }
        return (threads.getCurrentThreadCpuTime() - start) / 1_000.0 / runs;
    }
}
