package org.dogwoodwood.node.guard;

import java.util.Objects;
import java.util.Optional;

/**
 * The result of a poll of the target; values that the target does not report are empty.
 *
 * @param kind the health of the target
 * @param slots the number of calls that it can run concurrently
 * @param cold whether it is cold
 * @param draining whether it accepts no new work
 * @param incarnation a value that changes with each restart of the target
 */
public record PollResult(
        Kind kind,
        Optional<Integer> slots,
        Optional<Boolean> cold,
        Optional<Boolean> draining,
        Optional<String> incarnation) {

    /** The health of a polled target. */
    public enum Kind {
        /** The target is healthy. */
        HEALTHY,
        /** The target reports that it is not healthy. */
        FAILING,
        /** The target does not have the polled path. */
        UNKNOWN_PATH,
        /** The answer cannot be parsed. */
        MALFORMED
    }

    /** Checks that the references are present. */
    public PollResult {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(slots, "slots");
        Objects.requireNonNull(cold, "cold");
        Objects.requireNonNull(draining, "draining");
        Objects.requireNonNull(incarnation, "incarnation");
    }

    /** Returns a result that holds only the health of the target. */
    public static PollResult of(Kind kind) {
        return new PollResult(
                kind, Optional.empty(), Optional.empty(), Optional.empty(), Optional.empty());
    }
}
