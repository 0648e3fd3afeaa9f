package org.dogwoodwood.faults.simulation;

import java.util.Optional;

/**
 * A request of a caller.
 *
 * @param number the number, unique in a run; a repetition has a number of its own
 * @param idempotent whether it is safe to run it more than once
 * @param key the {@code Idempotency-Key}, if any
 * @param fingerprint the hash of its content
 * @param timeoutNanos the time limit of the caller, in nanoseconds
 */
public record Request(
        long number,
        boolean idempotent,
        Optional<String> key,
        long fingerprint,
        long timeoutNanos) {

    /** Returns the body that a correct answer has. */
    public String expectedBody() {
        return key.map(value -> "answer to key " + value).orElse("answer to " + number);
    }
}
