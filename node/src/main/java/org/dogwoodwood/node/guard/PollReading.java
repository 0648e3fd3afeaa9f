package org.dogwoodwood.node.guard;

import java.util.Objects;
import java.util.Optional;

/**
 * What a poll tells of the target; empty parts were not told.
 *
 * @param kind whether the target is well
 * @param slots the calls that it can work on at a time
 * @param cold whether it is cold
 * @param draining whether it takes no new work
 * @param incarnation changes each time the target restarts
 */
public record PollReading(
        Kind kind,
        Optional<Integer> slots,
        Optional<Boolean> cold,
        Optional<Boolean> draining,
        Optional<String> incarnation) {

    /** Whether a polled target is well. */
    public enum Kind {
        /** The target is well. */
        HEALTHY,
        /** The target says that it is not well. */
        FAILING,
        /** The target does not have the polled path. */
        UNKNOWN_PATH,
        /** The answer cannot be read. */
        MALFORMED
    }

    /** Checks that the references are present. */
    public PollReading {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(slots, "slots");
        Objects.requireNonNull(cold, "cold");
        Objects.requireNonNull(draining, "draining");
        Objects.requireNonNull(incarnation, "incarnation");
    }

    /** Returns a reading that tells nothing but whether the target is well. */
    public static PollReading of(Kind kind) {
        return new PollReading(
                kind, Optional.empty(), Optional.empty(), Optional.empty(), Optional.empty());
    }
}
