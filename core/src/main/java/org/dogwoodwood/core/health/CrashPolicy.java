package org.dogwoodwood.core.health;

import static org.dogwoodwood.core.Preconditions.checkArgument;

import org.dogwoodwood.core.configuration.PolicyDefinition;

/**
 * When a request that may crash targets is refused.
 *
 * @param crashLimit the number of crashes without a success in between from which on a request runs
 *     on trial only, at least 1
 * @param holdNanos how long a request is refused after it crashed a target on trial, in
 *     nanoseconds; the time doubles with each further trial that ends so
 */
public record CrashPolicy(int crashLimit, long holdNanos) {

    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    /** Checks the ranges. */
    public CrashPolicy {
        checkArgument(crashLimit > 0, "The crash limit must be at least 1.");
        checkArgument(holdNanos > 0, "The crash hold time must be positive.");
    }

    /** Returns the part of a service's policy that concerns crashes. */
    public static CrashPolicy of(PolicyDefinition policy) {
        return new CrashPolicy(policy.crashLimit(), policy.crashHoldSeconds() * NANOS_PER_SECOND);
    }
}
