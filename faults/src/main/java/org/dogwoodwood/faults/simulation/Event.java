package org.dogwoodwood.faults.simulation;

import java.util.Optional;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.core.model.NodeId;
import org.dogwoodwood.core.model.Outcome;

/** An event of a run, as recorded outside the nodes; times are in virtual nanoseconds. */
public sealed interface Event {

    /** Returns the virtual time of the event, in nanoseconds. */
    long atNanos();

    /** A caller sent a request. */
    record RequestSubmitted(long atNanos, Request request, NodeId ingress) implements Event {}

    /** A caller received a response. */
    record ResponseReceived(
            long atNanos,
            long request,
            Outcome outcome,
            Optional<ErrorCode> error,
            Optional<String> body)
            implements Event {}

    /** A target started to run a request; {@code inFlight} includes it. */
    record ExecutionStarted(
            long atNanos,
            NodeId node,
            String dataCentre,
            Request request,
            int inFlight,
            boolean cold,
            int coldSlots)
            implements Event {}

    /** A target stopped running a request. */
    record ExecutionEnded(long atNanos, NodeId node, long request, EndReason endReason)
            implements Event {}

    /** A guard polled its target for load or health. */
    record TargetPolled(long atNanos, NodeId node) implements Event {}

    /**
     * A target entered cold start.
     *
     * @param detectable whether the target has just started, so that the guard can detect it at
     *     once; otherwise only a poll can
     */
    record TurnedCold(long atNanos, NodeId node, boolean detectable) implements Event {}

    /** An operator took a data centre out or returned it. */
    record DataCentreOrdered(long atNanos, String dataCentre, boolean out) implements Event {}

    /** A node started a graceful shutdown, or its target started draining. */
    record LeavingStarted(long atNanos, NodeId node) implements Event {}

    /** The process of a leaving node ended, or a target stopped draining. */
    record LeavingEnded(long atNanos, NodeId node, int inFlight) implements Event {}

    /** The process of a node started. */
    record NodeStarted(long atNanos, NodeId node, long incarnation) implements Event {}

    /** The process of a node ended, gracefully or not. */
    record NodeStopped(long atNanos, NodeId node) implements Event {}

    /** A publication was appended whose base version was the accepted version. */
    record PublicationAccepted(long atNanos, long version, String publicationId) implements Event {}

    /** A configuration came into force on a node. */
    record ConfigurationInForce(
            long atNanos, NodeId node, long incarnation, long version, String publicationId)
            implements Event {}

    /** A disruption started. */
    record DisruptionStarted(long atNanos, Disruption kind, String scope) implements Event {}

    /** A disruption ended. */
    record DisruptionEnded(long atNanos, Disruption kind, String scope) implements Event {}

    /** Why a target stopped running a request. */
    enum EndReason {
        ANSWERED,
        CRASHED,
        CANCELLED,
        INTERRUPTED_BY_SHUTDOWN
    }

    /** A fault that delays or prevents the delivery of information to nodes. */
    enum Disruption {
        PARTITION,
        LOG,
        PAUSE
    }
}
