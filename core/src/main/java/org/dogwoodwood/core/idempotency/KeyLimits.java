package org.dogwoodwood.core.idempotency;

import static org.dogwoodwood.core.Preconditions.checkArgument;

/**
 * Bounds on the memory used by idempotency keys.
 *
 * @param maxKeys the maximum number of stored keys; calls with further keys are refused
 * @param maxAnswerBytes the maximum size of stored answers, in bytes; above it the oldest answers
 *     are dropped but their keys are retained
 * @param maxHandoverBytes the maximum size of entries in one handover frame, in bytes; exceeded
 *     only by a frame with a single entry
 */
public record KeyLimits(int maxKeys, long maxAnswerBytes, long maxHandoverBytes) {

    /** The default limits: 100,000 keys, 32 MiB of answers and 2 MiB per frame. */
    public static final KeyLimits DEFAULT = new KeyLimits(100_000, 32L << 20, 2L << 20);

    /** Checks the bounds. */
    public KeyLimits {
        checkArgument(maxKeys > 0, "The maximum number of keys must be positive.");
        checkArgument(
                maxAnswerBytes >= 0, "The maximum size of stored answers must not be negative.");
        checkArgument(
                maxHandoverBytes > 0, "The maximum size of a handover frame must be positive.");
    }
}
