package org.dogwoodwood.core.admission;

import static org.dogwoodwood.core.Preconditions.checkArgument;

import java.util.ArrayList;
import java.util.List;

/**
 * The number of calls at a time with which a target completes most.
 *
 * <p>Some targets slow down when they are nearly full, so that each call that starts in one of the
 * last slots takes longer than the slot is worth. The limit begins with a share of the slots. While
 * calls wait and it is not known what one more would cost, some start above it, and the limit rises
 * and falls with the completions per time that were seen at either number. Times are only
 * comparable at the same speed of the target, so this suits targets that tell it.
 */
final class CrowdingLimit {

    /** Few targets slow down below this share of their slots. */
    private static final double SAFE_SHARE = 0.8;

    /** Starts between two trials above the limit, so that trials themselves cost little. */
    private static final int STARTS_BETWEEN_TRIALS = 5;

    /** The mean of fewer times is mostly chance. */
    private static final double MIN_COMPLETIONS = 6;

    /** Completions after which an earlier one has lost most of its weight. */
    private static final double WINDOW_COMPLETIONS = 400;

    private final List<ServiceTime> timeByInFlight = new ArrayList<>();
    private int slots;
    private int limit;
    private int startsSinceTrial;

    private CrowdingLimit() {}

    /** Returns a limit for a target whose times are not known yet. */
    static CrowdingLimit create() {
        return new CrowdingLimit();
    }

    /**
     * Returns the calls that may be in flight.
     *
     * @param presentSlots the calls that the target can work on at a time, from 1
     */
    int limit(int presentSlots) {
        checkArgument(presentSlots > 0, "A target has a slot or more.");
        if (presentSlots != slots) {
            slots = presentSlots;
            limit = safeLimit();
        }
        return limit;
    }

    /** Takes in that a call has started. */
    void onStarted() {
        startsSinceTrial++;
    }

    /** Returns whether a waiting call may start above the limit, to find out what that costs. */
    boolean tryAbove(int inFlight) {
        boolean due = startsSinceTrial >= STARTS_BETWEEN_TRIALS && !isKnown(limit + 1);
        if (inFlight != limit || limit >= slots || !due) {
            return false;
        }
        startsSinceTrial = 0;
        return true;
    }

    /**
     * Takes in a call that the target answered and that started at its usual speed.
     *
     * @param inFlight the calls in flight when it started, with itself, from 1
     * @param serviceTimeNanos the time that the target took, in nanoseconds
     */
    void onCompleted(int inFlight, long serviceTimeNanos) {
        timeByInFlight.forEach(ServiceTime::age);
        while (timeByInFlight.size() < Math.max(slots, inFlight)) {
            timeByInFlight.add(new ServiceTime());
        }
        timeByInFlight.get(inFlight - 1).add(serviceTimeNanos);
        if (limit < slots && completesMore(limit + 1, limit)) {
            limit++;
        } else if (limit > safeLimit() && completesMore(limit - 1, limit)) {
            limit--;
        }
    }

    private int safeLimit() {
        return Math.max(1, (int) (SAFE_SHARE * slots));
    }

    private boolean isKnown(int inFlight) {
        return inFlight <= timeByInFlight.size() && timeByInFlight.get(inFlight - 1).isKnown();
    }

    private boolean completesMore(int inFlight, int other) {
        return isKnown(inFlight)
                && isKnown(other)
                && timePerCallNanos(inFlight) < timePerCallNanos(other);
    }

    private double timePerCallNanos(int inFlight) {
        return timeByInFlight.get(inFlight - 1).meanNanos() / inFlight;
    }

    /** The mean time of the recent calls that started with one number of calls in flight. */
    private static final class ServiceTime {

        private static final double KEPT_WEIGHT = 1 - 1 / WINDOW_COMPLETIONS;

        private double completions;
        private double sumNanos;

        void age() {
            completions *= KEPT_WEIGHT;
            sumNanos *= KEPT_WEIGHT;
        }

        void add(long nanos) {
            completions += 1;
            sumNanos += nanos;
        }

        boolean isKnown() {
            return completions >= MIN_COMPLETIONS;
        }

        double meanNanos() {
            return sumNanos / completions;
        }
    }
}
