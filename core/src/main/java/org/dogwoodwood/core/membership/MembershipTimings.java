package org.dogwoodwood.core.membership;

import java.time.Duration;

/**
 * The timings of failure detection, in nanoseconds.
 *
 * @param suspectTimeoutNanos how long a member stays suspect before it is declared dead
 * @param isolationTimeoutNanos how long a node without an acknowledged exchange waits before it
 *     considers its peers unreachable
 * @param leaseNanos how long a node may start calls after an acknowledged exchange
 * @param pauseThresholdNanos the gap between two ticks above which the process is considered to
 *     have been paused
 * @param deadRetentionNanos how long a dead member is retained
 * @param leftRetentionNanos how long a member that left is retained
 */
public record MembershipTimings(
        long suspectTimeoutNanos,
        long isolationTimeoutNanos,
        long leaseNanos,
        long pauseThresholdNanos,
        long deadRetentionNanos,
        long leftRetentionNanos) {

    /**
     * Returns the default timings: a member is dead 3 s after its last heartbeat, and a lease lasts
     * 2 s. Dead members are retained for 15 minutes, longer than regions lose contact.
     */
    public static MembershipTimings defaults() {
        return new MembershipTimings(
                Duration.ofSeconds(2).toNanos(),
                Duration.ofSeconds(3).toNanos(),
                Duration.ofSeconds(2).toNanos(),
                Duration.ofSeconds(1).toNanos(),
                Duration.ofMinutes(15).toNanos(),
                Duration.ofMinutes(1).toNanos());
    }
}
