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

/** Builds routing tables; keeps the targets of the last one while no member has changed. */
final class RoutingTableBuilder {

    private final MembershipTable table;
    private final DataCentreOrders orders;
    private final boolean leases;
    private Map<String, List<RouteTarget>> targets = Map.of();
    private long tableChanges = -1;
    private long ordersHash;
    private boolean isolated;

    RoutingTableBuilder(MembershipTable table, DataCentreOrders orders, boolean leases) {
        this.leases = leases;
        this.table = table;
        this.orders = orders;
    }

    /**
     * Returns whether members, orders or leases differ from those of the last table. Most messages
     * of peers tell nothing new, and a table for each would cost more than reading them.
     */
    boolean isOutdated(long nowNanos) {
        // A lease reaches further with each answer of a peer.
        return leases || areTargetsOutdated(nowNanos);
    }

    /** Returns the routing table at a time. */
    RoutingTable build(Configuration configuration, CrashEvidence crashes, long nowNanos) {
        if (areTargetsOutdated(nowNanos)) {
            tableChanges = table.changes();
            ordersHash = orders.hash();
            isolated = table.isIsolated(nowNanos);
            targets = Map.copyOf(RoutingTable.groupByService(routeTargets()));
        }
        return new RoutingTable(
                configuration,
                targets,
                leases ? table.ownLeaseUntilNanos(nowNanos) : Long.MAX_VALUE,
                orders.isOut(table.self().address().dataCentre()),
                crashes.blocked(nowNanos),
                crashes.suspect(nowNanos));
    }

    private boolean areTargetsOutdated(long nowNanos) {
        return tableChanges != table.changes()
                || ordersHash != orders.hash()
                || isolated != table.isIsolated(nowNanos);
    }

    private List<RouteTarget> routeTargets() {
        List<RouteTarget> found = new ArrayList<>();
        for (Member member : table.members()) {
            if (member.target().isPresent() && member.liveness() != Liveness.DEAD) {
                found.add(toRouteTarget(member));
            }
        }
        return found;
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
                suspect,
                orders.isOut(member.address().dataCentre()));
    }
}
