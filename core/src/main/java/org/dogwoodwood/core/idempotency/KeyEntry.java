package org.dogwoodwood.core.idempotency;

import java.util.Objects;
import java.util.Optional;
import org.dogwoodwood.core.model.TargetAnswer;

/**
 * The state of a key as handed over from one owner to the next.
 *
 * @param key the caller's {@code Idempotency-Key}
 * @param fingerprint the fingerprint of the first request with the key
 * @param state the state of the call of that request
 * @param answer the stored answer, or empty if there is none
 * @param remainingNanos how much longer the key must be retained, in nanoseconds
 */
public record KeyEntry(
        String key,
        long fingerprint,
        KeyState state,
        Optional<TargetAnswer> answer,
        long remainingNanos) {

    /** Checks that the references are present. */
    public KeyEntry {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(state, "state");
        Objects.requireNonNull(answer, "answer");
    }
}
