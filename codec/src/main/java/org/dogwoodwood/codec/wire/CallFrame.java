package org.dogwoodwood.codec.wire;

import java.util.Objects;
import java.util.Optional;
import org.dogwoodwood.core.calls.AttemptId;
import org.dogwoodwood.core.model.CallDescription;

/**
 * Asks a guard to run one attempt of a call.
 *
 * @param id the attempt
 * @param expectedIncarnation the incarnation of the guard that the ingress knows
 * @param service the name of the service
 * @param callClass the class or tenant of the caller
 * @param request what the target receives
 * @param remainingMillis the time until the answer is due, in milliseconds
 * @param objectiveMillis the time for which the answer keeps its full value, in milliseconds
 * @param idempotent whether the call may run more than once
 * @param key the caller's {@code Idempotency-Key}, if it gave one
 * @param depth how many services the call has passed through
 * @param fingerprint hash of service, method, path and body
 * @param mayQueue whether the guard may queue the call when no slot is free
 */
public record CallFrame(
        AttemptId id,
        long expectedIncarnation,
        String service,
        String callClass,
        RequestContent request,
        long remainingMillis,
        long objectiveMillis,
        boolean idempotent,
        Optional<String> key,
        int depth,
        long fingerprint,
        boolean mayQueue)
        implements Frame {

    public static final int TYPE = 4;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Checks that the references are present. */
    public CallFrame {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(callClass, "callClass");
        Objects.requireNonNull(request, "request");
        Objects.requireNonNull(key, "key");
    }

    /** Returns the same call with the deadline on the receiver's monotonic clock. */
    public CallDescription describe(long nowNanos) {
        return new CallDescription(
                id.call(),
                id.attempt(),
                service,
                callClass,
                idempotent,
                key,
                fingerprint,
                depth,
                nowNanos + remainingMillis * NANOS_PER_MILLI,
                nowNanos + Math.min(objectiveMillis, remainingMillis) * NANOS_PER_MILLI,
                mayQueue);
    }

    /** Returns the same call after it has waited for a time, in nanoseconds, to be sent. */
    public CallFrame afterWaiting(long nanos) {
        long waitedMillis = nanos / NANOS_PER_MILLI;
        if (waitedMillis <= 0) {
            return this;
        }
        return new CallFrame(
                id,
                expectedIncarnation,
                service,
                callClass,
                request,
                Math.max(0, remainingMillis - waitedMillis),
                Math.max(0, objectiveMillis - waitedMillis),
                idempotent,
                key,
                depth,
                fingerprint,
                mayQueue);
    }

    @Override
    public int type() {
        return TYPE;
    }
}
