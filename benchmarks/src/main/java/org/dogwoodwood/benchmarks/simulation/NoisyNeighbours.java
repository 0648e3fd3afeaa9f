package org.dogwoodwood.benchmarks.simulation;

import java.util.SplittableRandom;

/** Slows one target in phases that follow a {@link NeighbourPattern}. */
final class NoisyNeighbours {

    private final EventQueue events;
    private final SimulatedTarget target;
    private final NeighbourPattern pattern;
    private final SplittableRandom random;

    NoisyNeighbours(
            EventQueue events,
            SimulatedTarget target,
            NeighbourPattern pattern,
            SplittableRandom random) {
        this.events = events;
        this.target = target;
        this.pattern = pattern;
        this.random = random;
    }

    void start() {
        events.scheduleAfter((long) pattern.nextGapNanos(random), this::slowDown);
    }

    private void slowDown() {
        target.setNeighbourSpeed(1 / pattern.nextSlowdown(random));
        events.scheduleAfter((long) pattern.nextDurationNanos(random), this::recover);
    }

    private void recover() {
        target.setNeighbourSpeed(1);
        start();
    }
}
