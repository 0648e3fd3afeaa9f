package org.dogwoodwood.core.model;

import java.util.Objects;
import java.util.Optional;

/**
 * The properties of one attempt of a call on which decisions are based.
 *
 * @param id the call id
 * @param attempt the number of this attempt, from 0
 * @param service the name of the service
 * @param callClass the class of the call
 * @param idempotent whether the call may run more than once
 * @param key the caller's {@code Idempotency-Key}, if there is one
 * @param fingerprint a hash of service, method, path and body
 * @param depth the number of services that the call has passed through, from 0
 * @param deadlineNanos the time by which the answer is due, on the receiver's monotonic clock, in
 *     nanoseconds
 * @param objectiveNanos the latency objective, the time until which the answer has its full value:
 *     at most the deadline, on the same clock, in nanoseconds
 * @param mayQueue whether the guard may queue the call when no slot is free
 * @param account the client account of the caller; calls without one form one account
 */
public record CallDescription(
        CallId id,
        int attempt,
        String service,
        String callClass,
        boolean idempotent,
        Optional<String> key,
        long fingerprint,
        int depth,
        long deadlineNanos,
        long objectiveNanos,
        boolean mayQueue,
        Optional<String> account) {

    /** Checks that no reference is null. */
    public CallDescription {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(callClass, "callClass");
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(account, "account");
    }

    /** Creates the description of a call without an account. */
    public CallDescription(
            CallId id,
            int attempt,
            String service,
            String callClass,
            boolean idempotent,
            Optional<String> key,
            long fingerprint,
            int depth,
            long deadlineNanos,
            long objectiveNanos,
            boolean mayQueue) {
        this(
                id,
                attempt,
                service,
                callClass,
                idempotent,
                key,
                fingerprint,
                depth,
                deadlineNanos,
                objectiveNanos,
                mayQueue,
                Optional.empty());
    }
}
