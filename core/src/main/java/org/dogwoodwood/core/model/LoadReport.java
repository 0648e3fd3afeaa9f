package org.dogwoodwood.core.model;

import java.util.Objects;

/**
 * The load of a target as reported by its guard.
 *
 * @param guard the node beside the target
 * @param incarnation the guard's incarnation
 * @param sequence the sequence number, which rises with each report of that incarnation
 * @param inFlight the number of calls in flight at the target
 * @param queued the number of calls queued at the guard
 * @param limit the number of calls that the guard currently allows in flight
 * @param slots the number of calls that the target can process concurrently when warm
 * @param serviceTimeMicros the recent mean service time at the target, in microseconds; at its
 *     usual speed if {@code slowdown} is reported
 * @param errorRatio the share of recent calls that failed, from 0 to 1
 * @param state the state of the target
 * @param slowdown the current service time of the target as a multiple of the usual one, or 0 if
 *     the target does not report it
 * @param stateVersion increases with each change of {@code state} within one incarnation of the
 *     guard; the same number as in the guard's entry in the membership
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
        double slowdown,
        int stateVersion) {

    /** Checks that no reference is null. */
    public LoadReport {
        Objects.requireNonNull(guard, "guard");
        Objects.requireNonNull(state, "state");
    }

    /**
     * Creates a report of a target that does not report its slowdown and whose state has not
     * changed yet.
     */
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
                0,
                0);
    }

    /** Returns whether this report contains the slowdown of the target. */
    public boolean hasSlowdown() {
        return slowdown > 0;
    }

    /**
     * Returns whether the guard changed the state of the target after this report.
     *
     * @param laterIncarnation the guard's incarnation according to another source
     * @param laterStateVersion the version of the target's state according to that source
     */
    public boolean isStateOlderThan(long laterIncarnation, int laterStateVersion) {
        if (incarnation != laterIncarnation) {
            return incarnation < laterIncarnation;
        }
        return stateVersion < laterStateVersion;
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
