package org.dogwoodwood.node.ingress;

import org.dogwoodwood.core.calls.AttemptId;
import org.dogwoodwood.core.routing.RouteTarget;

/**
 * An attempt of a call that has not ended.
 *
 * @param id the attempt
 * @param target where it was sent
 * @param sentNanos when it was sent, on the monotonic clock, in nanoseconds
 * @param mayQueue whether the guard may let it wait
 * @param expectedWaitNanos the wait that was expected there, in nanoseconds
 * @param hedge whether another attempt was open when it was sent
 */
record OpenAttempt(
        AttemptId id,
        RouteTarget target,
        long sentNanos,
        boolean mayQueue,
        long expectedWaitNanos,
        boolean hedge) {}
