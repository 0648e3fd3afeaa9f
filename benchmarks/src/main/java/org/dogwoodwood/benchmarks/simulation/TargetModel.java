package org.dogwoodwood.benchmarks.simulation;

/** Models of how noisy neighbours and load affect the speed of targets. */
public enum TargetModel {

    /**
     * Neighbours slow calls that are already running, in short phases; targets do not report their
     * slowdown.
     */
    VARYING_SPEED {
        @Override
        NeighbourPattern neighbourPattern() {
            return NeighbourPattern.SHORT;
        }

        @Override
        double slowdownAtStart(double neighbourSpeed, int running, int slots) {
            return 1;
        }
    },

    /**
     * The duration of a call is fixed at its start, by the neighbours and by the load of the
     * target; targets report their slowdown.
     */
    SPEED_FIXED_AT_START {
        @Override
        NeighbourPattern neighbourPattern() {
            return NeighbourPattern.LONG;
        }

        @Override
        double slowdownAtStart(double neighbourSpeed, int running, int slots) {
            double contention = running > CONTENTION_THRESHOLD * slots ? CONTENTION_SLOWDOWN : 1;
            return contention / neighbourSpeed;
        }
    };

    /** The share of busy slots above which a target slows down. */
    private static final double CONTENTION_THRESHOLD = 0.8;

    private static final double CONTENTION_SLOWDOWN = 1.7;

    /** Returns the pattern in which neighbours slow each target. */
    abstract NeighbourPattern neighbourPattern();

    /** Returns whether targets report their slowdown with answers and in reply to polls. */
    public boolean reportsSlowdown() {
        return this == SPEED_FIXED_AT_START;
    }

    /**
     * Returns the factor by which the state of the target at the start of a call lengthens it.
     *
     * @param neighbourSpeed the share of the full speed that neighbours leave to the target
     * @param running the number of calls in flight at the target, including this one
     * @param slots the number of slots of the target
     */
    abstract double slowdownAtStart(double neighbourSpeed, int running, int slots);
}
