package org.dogwoodwood.faults.simulation;

import java.util.Optional;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.core.model.NodeId;
import org.dogwoodwood.core.model.Outcome;

/** What happened in a run, as an omniscient observer sees it; times are virtual nanoseconds. */
public sealed interface Event {

    /** Returns when it happened, in nanoseconds. */
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

    /** A target began to work on a request. */
    record ExecutionStarted(
            long atNanos,
            NodeId node,
            String dataCentre,
            Request request,
            int inFlight,
            boolean cold,
            int coldSlots)
            implements Event {}

    /** A target ended its work on a request. */
    record ExecutionEnded(long atNanos, NodeId node, long request, EndReason endReason)
            implements Event {}

    /** A guard asked its target for load or health. */
    record TargetPolled(long atNanos, NodeId node) implements Event {}

    /** A target entered cold start. */
    record TurnedCold(long atNanos, NodeId node, boolean detectable) implements Event {}

    /** Operators took a data centre out or returned it. */
    record DataCentreOrdered(long atNanos, String dataCentre, boolean out) implements Event {}

    /** A node began to leave, or its target to drain. */
    record LeavingStarted(long atNanos, NodeId node) implements Event {}

    /** A node that was leaving ended its process, or a target stopped draining. */
    record LeavingEnded(long atNanos, NodeId node, int inFlight) implements Event {}

    /** A node's process started. */
    record NodeStarted(long atNanos, NodeId node, long incarnation) implements Event {}

    /** A node's process ended, gracefully or not. */
    record NodeStopped(long atNanos, NodeId node) implements Event {}

    /** The log took a publication that its order accepts. */
    record PublicationAccepted(long atNanos, long version, String publicationId) implements Event {}

    /** A configuration came into force on a node. */
    record ConfigurationInForce(
            long atNanos, NodeId node, long incarnation, long version, String publicationId)
            implements Event {}

    /** A fault began that can keep information from nodes. */
    record DisruptionStarted(long atNanos, Disruption kind, String scope) implements Event {}

    /** Such a fault ended. */
    record DisruptionEnded(long atNanos, Disruption kind, String scope) implements Event {}

    /** How the work on a request ended. */
    enum EndReason {
        ANSWERED,
        CRASHED,
        CANCELLED,
        INTERRUPTED_BY_SHUTDOWN
    }

    /** What keeps information from nodes. */
    enum Disruption {
        PARTITION,
        LOG,
        PAUSE
    }
}
