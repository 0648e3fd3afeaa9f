package org.dogwoodwood.codec.wire;

import java.util.Objects;
import java.util.Optional;
import org.dogwoodwood.core.calls.AttemptId;
import org.dogwoodwood.core.model.CallDescription;

/**
 * Instructs a guard to run one attempt of a call.
 *
 * @param id the attempt
 * @param expectedIncarnation the latest incarnation of the guard known to the ingress
 * @param service the name of the service
 * @param callClass the class of the call
 * @param request the HTTP request for the target
 * @param remainingMillis the time until the deadline, in milliseconds
 * @param objectiveMillis the time within which an answer has its full value, in milliseconds
 * @param idempotent whether the call may run more than once
 * @param key the caller's {@code Idempotency-Key}, if present
 * @param depth the number of services that the call has passed through
 * @param fingerprint the hash of service, method, path and body
 * @param mayQueue whether the guard may queue the call when no slot is free
 * @param account the client account of the caller, if it has one
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
        boolean mayQueue,
        Optional<String> account)
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
        Objects.requireNonNull(account, "account");
    }

    /** Creates the frame of a call without an account. */
    public CallFrame(
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
            boolean mayQueue) {
        this(
                id,
                expectedIncarnation,
                service,
                callClass,
                request,
                remainingMillis,
                objectiveMillis,
                idempotent,
                key,
                depth,
                fingerprint,
                mayQueue,
                Optional.empty());
    }

    /**
     * Returns the description of this call, with its deadlines on the receiver's monotonic clock.
     *
     * @param nowNanos the current time of that clock, in nanoseconds
     */
    public CallDescription toDescription(long nowNanos) {
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
                mayQueue,
                account);
    }

    /**
     * Returns this call with its times reduced by the time that it waited to be sent.
     *
     * @param nanos the waiting time, in nanoseconds
     */
    public CallFrame withElapsedTime(long nanos) {
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
                mayQueue,
                account);
    }

    @Override
    public int type() {
        return TYPE;
    }
}
