package org.dogwoodwood.core.rollout;

/**
 * The share of the calls that the new version gets: small constant shares first, then short pulses
 * of growing height, which show how it behaves under load. Not thread-safe.
 */
final class ExposurePlan {

    private static final double NANOS_PER_SECOND = 1e9;

    // Steps before FIRST_PULSE are constant shares, the others heights of pulses.
    private static final double[] SHARES = {0.01, 0.02, 0.03, 0.1, 0.2, 0.3, 0.5};
    private static final int FIRST_PULSE = 3;
    private static final double SHARE_BETWEEN_PULSES = 0.01;

    // A quiet service, too, must get the evidence that a success needs.
    private static final double MIN_ATTEMPTS_PER_SECOND = 2;
    private static final double MAX_SHARE = 0.5;

    private static final long PULSE_NANOS = 1_500_000_000L;
    private static final long MIN_STEP_NANOS = 1_000_000_000L;
    private static final double MIN_STEP_DURATION_SHARE = 0.03;
    private static final long MIN_STEP_ANSWERS = 10;

    // Attempts are reported and the share is changed within this time.
    private static final double CONTROL_SECONDS = 1;
    private static final double REPORT_SECONDS = 0.5;

    private final long minStepNanos;
    private int step;
    private long stepNanos;
    private long stepAnswers;
    private boolean pulsing;
    private boolean pulsed;
    private long pulseEndNanos;

    ExposurePlan(long durationNanos, int step, long nowNanos) {
        this.minStepNanos =
                Math.max(MIN_STEP_NANOS, (long) (durationNanos * MIN_STEP_DURATION_SHARE));
        this.step = step;
        this.stepNanos = nowNanos;
    }

    int step() {
        return step;
    }

    /** Goes to the next step if the present one has lasted and shown enough. */
    void advance(long answers, long nowNanos) {
        boolean shown = step < FIRST_PULSE || (pulsed && !pulsing);
        boolean last = step == SHARES.length - 1;
        if (!last
                && shown
                && nowNanos - stepNanos >= minStepNanos
                && answers - stepAnswers >= MIN_STEP_ANSWERS) {
            step++;
            stepNanos = nowNanos;
            stepAnswers = answers;
            pulsed = false;
        }
    }

    /**
     * Returns the share of the calls for the next moments.
     *
     * @param callsPerSecond the recent rate of calls
     * @param attemptsLeft the attempts that the bounds on exposure allow
     * @param nowNanos the current time in nanoseconds
     */
    double share(double callsPerSecond, double attemptsLeft, long nowNanos) {
        double wanted = constantShare(callsPerSecond);
        if (step >= FIRST_PULSE) {
            updatePulse(callsPerSecond, attemptsLeft, nowNanos);
            wanted = pulsing ? Math.max(wanted, SHARES[step]) : wanted;
        }
        double affordable = attemptsLeft / Math.max(1, callsPerSecond * CONTROL_SECONDS);
        return Math.max(0, Math.min(wanted, affordable));
    }

    /**
     * Returns the attempts that must be allowed before a pulse of the present step begins, or 0 if
     * the step is not a pulse.
     */
    double pulseAttempts(double callsPerSecond) {
        return step < FIRST_PULSE
                ? 0
                : SHARES[step] * callsPerSecond * (PULSE_NANOS / NANOS_PER_SECOND + REPORT_SECONDS);
    }

    private double constantShare(double callsPerSecond) {
        double share = step < FIRST_PULSE ? SHARES[step] : SHARE_BETWEEN_PULSES;
        return Math.min(
                MAX_SHARE, Math.max(share, MIN_ATTEMPTS_PER_SECOND / Math.max(1, callsPerSecond)));
    }

    private void updatePulse(double callsPerSecond, double attemptsLeft, long nowNanos) {
        if (pulsing && nowNanos >= pulseEndNanos) {
            pulsing = false;
            pulsed = true;
        } else if (!pulsing
                && nowNanos - stepNanos >= MIN_STEP_NANOS
                && attemptsLeft >= pulseAttempts(callsPerSecond)) {
            pulsing = true;
            pulseEndNanos = nowNanos + PULSE_NANOS;
        }
    }
}
