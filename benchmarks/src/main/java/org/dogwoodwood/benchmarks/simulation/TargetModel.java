package org.dogwoodwood.benchmarks.simulation;

/** How targets and their neighbours behave. */
public enum TargetModel {

    /** Neighbours slow the work under way for short times; targets do not tell their speed. */
    SHARED_SPEED {
        @Override
        NeighbourPattern neighbours() {
            return NeighbourPattern.SHORT;
        }

        @Override
        double slowdownAtStart(double neighbourSpeed, int running, int slots) {
            return 1;
        }
    },

    /**
     * The time of a call is settled at its start, by the neighbours and by how full the target is;
     * targets tell their speed.
     */
    SPEED_AT_START {
        @Override
        NeighbourPattern neighbours() {
            return NeighbourPattern.LONG;
        }

        @Override
        double slowdownAtStart(double neighbourSpeed, int running, int slots) {
            double crowding = running > NEARLY_FULL * slots ? CROWDED_SLOWDOWN : 1;
            return crowding / neighbourSpeed;
        }
    };

    /** From this share of the slots on, a target slows down. */
    private static final double NEARLY_FULL = 0.8;

    private static final double CROWDED_SLOWDOWN = 1.7;

    /** Returns how neighbours slow each target. */
    abstract NeighbourPattern neighbours();

    /** Returns whether targets tell their speed beside answers and polls. */
    public boolean tellsSpeed() {
        return this == SPEED_AT_START;
    }

    /**
     * Returns by how much a call takes longer for what the target is at its start.
     *
     * @param running the calls at the target, with this one
     */
    abstract double slowdownAtStart(double neighbourSpeed, int running, int slots);
}
