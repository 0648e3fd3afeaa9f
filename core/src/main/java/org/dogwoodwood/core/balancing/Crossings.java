package org.dogwoodwood.core.balancing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.dogwoodwood.core.model.FreeCapacity;

/** Decides to which other data centre a call may be sent, if to any. Not thread-safe. */
final class Crossings {

    /** Assumed for a data centre whose free capacity is unknown: it may be tried, but last. */
    private static final int UNKNOWN_FREE_SLOTS = 1;

    /** From this age on, a report that says a data centre is full counts as unknown capacity. */
    private static final long STALE_MILLIS = 1_000;

    private final CapacitySource capacities;
    private final Map<String, CrossingWindow> windows = new HashMap<>();
    private int senders = 1;

    Crossings(CapacitySource capacities) {
        this.capacities = Objects.requireNonNull(capacities, "capacities");
    }

    /** Sets the number of ingress nodes that read the same reports of free capacity. */
    void setSenders(int count) {
        senders = Math.max(1, count);
    }

    CrossingWindow windowOf(CandidateGroup group) {
        return windows.computeIfAbsent(group.dataCentre(), ignored -> new CrossingWindow());
    }

    /**
     * Returns the better of two random data centres, by their known free capacity, if one of them
     * may be sent a call.
     *
     * @param groups the targets in the other data centres, at least one group
     * @param nowNanos the current time in nanoseconds
     * @param random the source of randomness
     */
    Optional<CandidateGroup> choose(
            List<CandidateGroup> groups, long nowNanos, RandomGenerator random) {
        int size = groups.size();
        int first = random.nextInt(size);
        CandidateGroup one = groups.get(first);
        if (size == 1) {
            return isOpen(one, nowNanos, random) ? Optional.of(one) : Optional.empty();
        }
        CandidateGroup two = groups.get((first + 1 + random.nextInt(size - 1)) % size);
        boolean oneIsBetter = freeSlots(one, nowNanos) >= freeSlots(two, nowNanos);
        CandidateGroup better = oneIsBetter ? one : two;
        CandidateGroup other = oneIsBetter ? two : one;
        if (isOpen(better, nowNanos, random)) {
            return Optional.of(better);
        }
        return isOpen(other, nowNanos, random) ? Optional.of(other) : Optional.empty();
    }

    private int freeSlots(CandidateGroup group, long nowNanos) {
        return capacities
                .find(group.dataCentre(), nowNanos)
                .map(Crossings::freeSlots)
                .orElse(UNKNOWN_FREE_SLOTS);
    }

    private static int freeSlots(FreeCapacity known) {
        boolean stale = known.ageMillis() > STALE_MILLIS;
        return stale ? Math.max(UNKNOWN_FREE_SLOTS, known.freeSlots()) : known.freeSlots();
    }

    /**
     * Returns the mean number of free slots of the targets in a data centre, or NaN if it is
     * unknown or not recent.
     */
    double freeSlotsOfEach(CandidateGroup group, long nowNanos) {
        return capacities
                .find(group.dataCentre(), nowNanos)
                .filter(known -> known.ageMillis() <= STALE_MILLIS)
                .map(known -> (double) known.freeSlots() / group.size())
                .orElse(Double.NaN);
    }

    /**
     * Returns whether a call may be sent to a data centre. A report of free slots reaches many
     * ingress nodes at once, so each starts with a probability at which all of them together send
     * about as many calls as there are slots; from then on, the answers control its window.
     */
    private boolean isOpen(CandidateGroup group, long nowNanos, RandomGenerator random) {
        CrossingWindow window = windowOf(group);
        Optional<FreeCapacity> known = capacities.find(group.dataCentre(), nowNanos);
        if (known.isPresent() && freeSlots(known.get()) == 0) {
            window.reduce(nowNanos);
        }
        if (!window.isOpen()) {
            return false;
        }
        return known.isEmpty()
                || !window.isInitial()
                || random.nextInt(senders) < freeSlots(known.get());
    }
}
