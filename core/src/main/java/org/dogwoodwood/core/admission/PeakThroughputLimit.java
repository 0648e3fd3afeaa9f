package org.dogwoodwood.core.admission;

import static org.dogwoodwood.core.Preconditions.checkArgument;

import java.util.ArrayList;
import java.util.List;

/**
 * Concurrency limit at which a target reaches its highest throughput.
 *
 * <p>Some targets slow down when nearly all their slots are in use, so that using the last slots
 * lowers the throughput. The limit starts at a share of the slots. While calls are queued and the
 * effect of one more call in flight is unknown, some calls start above the limit as probes; the
 * limit then moves to the neighbouring number of calls in flight with the higher measured
 * throughput. Service times are only comparable at the same speed of the target, so this limit
 * requires targets that report their slowdown.
 */
final class PeakThroughputLimit {

    /** The lowest limit, as a share of the slots; few targets slow down below it. */
    private static final double MIN_SLOT_SHARE = 0.8;

    /**
     * Calls that start between two probes above the limit, so that probes cost little throughput.
     */
    private static final int STARTS_BETWEEN_PROBES = 5;

    /** Minimum number of completions for a mean service time; means of fewer are mostly noise. */
    private static final double MIN_COMPLETIONS = 6;

    /** Number of later completions after which a completion has lost most of its weight. */
    private static final double WINDOW_COMPLETIONS = 400;

    private final List<MeanServiceTime> serviceTimeByInFlight = new ArrayList<>();
    private int slots;
    private int limit;
    private int startsSinceProbe;

    private PeakThroughputLimit() {}

    /** Returns a limit for a target without measured service times. */
    static PeakThroughputLimit create() {
        return new PeakThroughputLimit();
    }

    /**
     * Returns the maximum number of calls in flight; restarts at the minimum if the slots have
     * changed.
     *
     * @param currentSlots the number of calls that the target can process concurrently, at least 1
     */
    int limit(int currentSlots) {
        checkArgument(currentSlots > 0, "The number of slots of a target must be at least 1.");
        if (currentSlots != slots) {
            slots = currentSlots;
            limit = minLimit();
        }
        return limit;
    }

    /** Counts a call that has started. */
    void onStarted() {
        startsSinceProbe++;
    }

    /**
     * Returns whether a queued call may start above the limit as a probe, and counts the probe if
     * so.
     */
    boolean tryProbe(int inFlight) {
        boolean due = startsSinceProbe >= STARTS_BETWEEN_PROBES && !hasEnoughSamples(limit + 1);
        if (inFlight != limit || limit >= slots || !due) {
            return false;
        }
        startsSinceProbe = 0;
        return true;
    }

    /**
     * Records a successful call that started at the usual speed of the target.
     *
     * @param inFlight the number of calls in flight when it started, including itself, at least 1
     * @param serviceTimeNanos the service time at the target, in nanoseconds
     */
    void onCompleted(int inFlight, long serviceTimeNanos) {
        serviceTimeByInFlight.forEach(MeanServiceTime::decay);
        while (serviceTimeByInFlight.size() < Math.max(slots, inFlight)) {
            serviceTimeByInFlight.add(new MeanServiceTime());
        }
        serviceTimeByInFlight.get(inFlight - 1).add(serviceTimeNanos);
        if (limit < slots && hasHigherThroughput(limit + 1, limit)) {
            limit++;
        } else if (limit > minLimit() && hasHigherThroughput(limit - 1, limit)) {
            limit--;
        }
    }

    private int minLimit() {
        return Math.max(1, (int) (MIN_SLOT_SHARE * slots));
    }

    private boolean hasEnoughSamples(int inFlight) {
        return inFlight <= serviceTimeByInFlight.size()
                && serviceTimeByInFlight.get(inFlight - 1).hasEnoughSamples();
    }

    private boolean hasHigherThroughput(int inFlight, int other) {
        return hasEnoughSamples(inFlight)
                && hasEnoughSamples(other)
                && timePerCallNanos(inFlight) < timePerCallNanos(other);
    }

    private double timePerCallNanos(int inFlight) {
        return serviceTimeByInFlight.get(inFlight - 1).meanNanos() / inFlight;
    }

    /**
     * Moving mean of the service times of calls that started at the same number of calls in flight.
     */
    private static final class MeanServiceTime {

        private static final double DECAY_FACTOR = 1 - 1 / WINDOW_COMPLETIONS;

        private double completions;
        private double sumNanos;

        void decay() {
            completions *= DECAY_FACTOR;
            sumNanos *= DECAY_FACTOR;
        }

        void add(long nanos) {
            completions += 1;
            sumNanos += nanos;
        }

        boolean hasEnoughSamples() {
            return completions >= MIN_COMPLETIONS;
        }

        double meanNanos() {
            return sumNanos / completions;
        }
    }
}
