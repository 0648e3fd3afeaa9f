package org.dogwoodwood.node.control;

import io.vertx.core.Future;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.dogwoodwood.core.balancing.CapacityTable;
import org.dogwoodwood.core.health.TrialCrash;
import org.dogwoodwood.core.membership.MemberTarget;
import org.dogwoodwood.core.routing.RoutingTable;

/** Maintains control state and publishes immutable snapshots of it to the request path. */
public interface ControlPlane {

    /** Starts reading the log and exchanging gossip. */
    Future<Void> start();

    /** Stops; the future completes when no further message or record will be sent. */
    Future<Void> stop();

    /** Returns the current routing table; may be called on any thread. */
    RoutingTable routingTable();

    /**
     * Adds a listener that receives each new routing table, on the control thread.
     *
     * @param listener the listener, not null
     */
    void onRoutingTable(Consumer<RoutingTable> listener);

    /**
     * Announces the target beside this node, or a change of its state, to the log and to peers; may
     * be called on any thread.
     *
     * @param target the target, not null
     */
    void announceTarget(MemberTarget target);

    /**
     * Announces to the log and to peers that this node is leaving; the future completes after the
     * append and the exchanges with peers, or after a short timeout.
     */
    Future<Void> announceLeaving();

    /**
     * Reports a crash of the target; may be called on any thread.
     *
     * @param inFlight the fingerprints of the requests that were in flight
     * @param tried the one of them that was on trial, if there was one
     */
    void reportCrash(Set<Long> inFlight, Optional<TrialCrash> tried);

    /**
     * Reports that a target answered a suspect request; may be called on any thread.
     *
     * @param fingerprint the fingerprint of the request
     * @param ageNanos how long ago, in nanoseconds
     */
    void reportAnswered(long fingerprint, long ageNanos);

    /**
     * Returns the free capacity of services by data centre, which nodes exchange; empty if this
     * control plane exchanges none.
     */
    default Optional<CapacityTable> capacities() {
        return Optional.empty();
    }

    /** Returns the stream of registered members, or empty if this control plane reads none. */
    default Optional<MembershipLog> membershipLog() {
        return Optional.empty();
    }

    /** Returns whether the configuration and the current members are known. */
    boolean isReady();
}
