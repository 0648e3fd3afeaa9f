package org.dogwoodwood.core.model;

import java.util.Objects;

/**
 * The load of a target as its guard reports it.
 *
 * @param guard the node beside the target
 * @param incarnation the guard's incarnation
 * @param sequence rises with each report of that incarnation
 * @param inFlight calls that the target is working on
 * @param queued calls that wait at the guard
 * @param limit the calls that the guard admits at a time now
 * @param slots the calls that the target can work on at a time when it is warm
 * @param serviceTimeMicros recent mean service time at the target, in microseconds; at its usual
 *     speed if {@code slowdown} is told
 * @param errorRatio recent share of calls that failed, from 0 to 1
 * @param state the state of the target
 * @param slowdown how long work takes at the target now, as a multiple of the usual time; 0 if the
 *     target does not tell it
 */
public record LoadReport(
        NodeId guard,
        long incarnation,
        long sequence,
        int inFlight,
        int queued,
        int limit,
        int slots,
        long serviceTimeMicros,
        double errorRatio,
        TargetState state,
        double slowdown) {

    /** Checks that the references are present. */
    public LoadReport {
        Objects.requireNonNull(guard, "guard");
        Objects.requireNonNull(state, "state");
    }

    /** Creates a report of a target that does not tell its speed. */
    public LoadReport(
            NodeId guard,
            long incarnation,
            long sequence,
            int inFlight,
            int queued,
            int limit,
            int slots,
            long serviceTimeMicros,
            double errorRatio,
            TargetState state) {
        this(
                guard,
                incarnation,
                sequence,
                inFlight,
                queued,
                limit,
                slots,
                serviceTimeMicros,
                errorRatio,
                state,
                0);
    }

    /** Returns whether the target tells its speed. */
    public boolean tellsSpeed() {
        return slowdown > 0;
    }

    /**
     * Returns whether this report was made after another one of the same guard.
     *
     * @param other another report, not null
     */
    public boolean isNewerThan(LoadReport other) {
        if (incarnation != other.incarnation) {
            return incarnation > other.incarnation;
        }
        return sequence > other.sequence;
    }
}
