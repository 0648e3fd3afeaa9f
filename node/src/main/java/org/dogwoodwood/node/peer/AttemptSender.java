package org.dogwoodwood.node.peer;

import io.vertx.core.Future;
import org.dogwoodwood.codec.wire.CallFrame;
import org.dogwoodwood.core.calls.AttemptId;
import org.dogwoodwood.core.routing.RouteTarget;

/** Sends attempts to guards; used on the traffic loop only. */
public interface AttemptSender {

    /**
     * Sends an attempt.
     *
     * @param target the target whose guard is to run it, not null
     * @param frame the attempt, not null
     * @return a future with the result; it never fails
     */
    Future<AttemptAnswer> send(RouteTarget target, CallFrame frame);

    /**
     * Cancels an attempt that was sent; its future may stay incomplete.
     *
     * @param target the target that it was sent to, not null
     * @param id the id of the attempt, not null
     */
    void cancel(RouteTarget target, AttemptId id);

    /**
     * Requests a load report from the guard of a target; it is passed to the report listener. The
     * guard answers without a request to the target.
     *
     * @param target the target, not null
     */
    void requestReport(RouteTarget target);

    /** Returns the recent round trip to the guard of a target, in nanoseconds. */
    long roundTripNanos(RouteTarget target);
}
