package org.dogwoodwood.node.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.dogwoodwood.core.configuration.Configuration;
import org.dogwoodwood.core.membership.DataCentreOrders;
import org.dogwoodwood.core.membership.Liveness;
import org.dogwoodwood.core.membership.Member;
import org.dogwoodwood.core.membership.MembershipTable;
import org.dogwoodwood.core.model.TargetState;
import org.dogwoodwood.core.routing.RouteTarget;
import org.dogwoodwood.core.routing.RoutingTable;

/** Builds routing tables; reuses the targets of the last one until members or orders change. */
final class RoutingTableBuilder {

    private final MembershipTable table;
    private final DataCentreOrders orders;
    private final boolean requireLeases;
    private Map<String, List<RouteTarget>> targets = Map.of();
    private long tableChanges = -1;
    private long ordersHash;
    private boolean isolated;

    RoutingTableBuilder(MembershipTable table, DataCentreOrders orders, boolean requireLeases) {
        this.requireLeases = requireLeases;
        this.table = table;
        this.orders = orders;
    }

    /**
     * Returns whether members, orders or leases have changed since the last table was built. Most
     * gossip messages contain nothing new, and a table for each would cost more than decoding them.
     */
    boolean isOutdated(long nowNanos) {
        // Each reply from a peer extends the lease.
        return requireLeases || areTargetsOutdated(nowNanos);
    }

    /** Returns the routing table as of {@code nowNanos}. */
    RoutingTable build(Configuration configuration, CrashEvidence crashes, long nowNanos) {
        if (areTargetsOutdated(nowNanos)) {
            tableChanges = table.changeCount();
            ordersHash = orders.hash();
            isolated = table.isIsolated(nowNanos);
            targets = Map.copyOf(RoutingTable.groupByService(routeTargets()));
        }
        return new RoutingTable(
                configuration,
                targets,
                requireLeases ? table.ownLeaseExpiryNanos(nowNanos) : Long.MAX_VALUE,
                orders.isOut(table.self().address().dataCentre()),
                crashes.suspicions(nowNanos));
    }

    private boolean areTargetsOutdated(long nowNanos) {
        return tableChanges != table.changeCount()
                || ordersHash != orders.hash()
                || isolated != table.isIsolated(nowNanos);
    }

    private List<RouteTarget> routeTargets() {
        List<RouteTarget> routeTargets = new ArrayList<>();
        for (Member member : table.members()) {
            if (member.target().isPresent() && member.liveness() != Liveness.DEAD) {
                routeTargets.add(toRouteTarget(member));
            }
        }
        return routeTargets;
    }

    private RouteTarget toRouteTarget(Member member) {
        boolean self = member.node().equals(table.self().node());
        boolean suspect = member.liveness() == Liveness.SUSPECT || (isolated && !self);
        TargetState state = member.ready() ? member.target().state() : TargetState.DOWN;
        return new RouteTarget(
                member.node(),
                member.incarnation(),
                member.target().service(),
                member.address().dataCentre(),
                member.address().host(),
                member.address().peerPort(),
                state,
                member.target().stateVersion(),
                suspect,
                orders.isOut(member.address().dataCentre()));
    }
}
