package org.dogwoodwood.node.control;

import static org.assertj.core.api.Assertions.assertThat;

import org.dogwoodwood.core.configuration.Configuration;
import org.dogwoodwood.core.membership.DataCentreOrder;
import org.dogwoodwood.core.membership.DataCentreOrders;
import org.dogwoodwood.core.membership.Liveness;
import org.dogwoodwood.core.membership.Member;
import org.dogwoodwood.core.membership.MemberTarget;
import org.dogwoodwood.core.membership.MembershipTable;
import org.dogwoodwood.core.membership.MembershipTimings;
import org.dogwoodwood.core.membership.NodeAddress;
import org.dogwoodwood.core.model.NodeId;
import org.dogwoodwood.core.model.TargetState;
import org.junit.jupiter.api.Test;

/** Guards against a new table per gossip message, and against changes without a new table. */
class RoutingTableBuilderTests {

    private static final long NOW = 1_000_000_000_000L;

    private final MembershipTable table =
            MembershipTable.create(
                    member("node-1"), MembershipTimings.defaults(), changed -> {}, NOW);
    private final DataCentreOrders orders = DataCentreOrders.create();
    private final CrashEvidence crashes = RegistryCrashEvidence.create(NodeId.of("node-1"), 1);

    @Test
    void isOutdatedOnlyAfterAChange() {
        RoutingTableBuilder builder = new RoutingTableBuilder(table, orders, false);
        assertThat(builder.isOutdated(NOW)).isTrue();
        builder.build(Configuration.empty(), crashes, NOW);
        assertThat(builder.isOutdated(NOW)).isFalse();

        table.merge(member("node-2"), NOW);
        assertThat(builder.isOutdated(NOW)).isTrue();
        builder.build(Configuration.empty(), crashes, NOW);
        assertThat(builder.isOutdated(NOW)).isFalse();

        orders.issue("a", DataCentreOrder.State.OUT, "order-1");
        assertThat(builder.isOutdated(NOW)).isTrue();
    }

    @Test
    void isOutdatedAfterIsolation() {
        RoutingTableBuilder builder = new RoutingTableBuilder(table, orders, false);
        table.merge(member("node-2"), NOW);
        builder.build(Configuration.empty(), crashes, NOW);
        long later = NOW + 2 * MembershipTimings.defaults().isolationTimeoutNanos();
        for (long at = NOW;
                at <= later;
                at += MembershipTimings.defaults().pauseThresholdNanos() / 2) {
            table.tick(at);
        }
        table.tick(later);

        assertThat(table.isIsolated(later)).isTrue();
        assertThat(builder.isOutdated(later)).isTrue();
    }

    @Test
    void isAlwaysOutdatedWithLeases() {
        RoutingTableBuilder builder = new RoutingTableBuilder(table, orders, true);
        builder.build(Configuration.empty(), crashes, NOW);

        assertThat(builder.isOutdated(NOW)).isTrue();
    }

    private static Member member(String node) {
        return new Member(
                NodeId.of(node),
                1,
                1,
                Liveness.ALIVE,
                true,
                false,
                new NodeAddress("a", "127.0.0.1", 1, 0),
                new MemberTarget("outings", 6, 220, TargetState.WARM));
    }
}
