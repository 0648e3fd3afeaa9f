package org.dogwoodwood.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import org.dogwoodwood.core.model.NodeId;
import org.dogwoodwood.core.model.TargetState;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Gossip of 83 nodes in three data centres, with rounds as real nodes choose them. */
class GossipBetweenDataCentresTests {

    private static final int SIZE = 83;
    private static final int DATA_CENTRES = 3;

    /** Guards against quiet nodes that all contact other data centres. */
    @Test
    void quietNodesExchangeLittleBetweenDataCentres() {
        SimulatedCluster cluster = settled(1);

        cluster.run(10);

        System.out.printf(
                "remote gossip, quiet: messages=%d update_bytes=%d in 10 s%n",
                cluster.remoteMessages, cluster.remoteUpdateBytes);
        // About 9 exchanges a second; 83 if each node contacted another data centre.
        assertThat(cluster.remoteMessages).isLessThan(300);
        assertThat(cluster.remoteUpdateBytes).isLessThan(1_000);
    }

    /** Guards against an update that each node repeats to other data centres. */
    @Test
    void updateCostsFewBytesBetweenDataCentresAndReachesAll() {
        SimulatedCluster cluster = settled(2);
        SimulatedCluster.SimulatedNode changed = cluster.node(5);
        Member self = changed.table.self();

        changed.table.updateSelf(
                self.withTarget(self.target().withState(TargetState.DRAINING)), cluster.nowNanos());
        cluster.run(3);

        System.out.printf("remote gossip, one update: bytes=%d%n", cluster.remoteUpdateBytes);
        assertThat(cluster.allObserve(5, MemberState.DRAINING)).isTrue();
        // Each of the 83 nodes may send an update 27 times to members of its own data centre.
        assertThat(cluster.remoteUpdateBytes).isLessThan(20_000);
    }

    /** Guards the 2 s within which an order is in force, while members of the same round end. */
    @ParameterizedTest
    @ValueSource(longs = {3, 4, 5, 6, 7})
    void orderReachesAllDataCentresWithinTwoSecondsWhileNodesEnd(long seed) {
        SimulatedCluster cluster = settled(seed);
        for (int index = 1; index < SIZE; index += 7) {
            cluster.node(index).running = false;
        }
        SimulatedCluster.SimulatedNode origin = cluster.node(0);

        origin.orders.issue("dc-1", DataCentreOrder.State.OUT, "order");
        origin.strategy.onOrderChanged("dc-1");
        cluster.run(2);

        for (int index = 0; index < SIZE; index++) {
            if (cluster.node(index).running) {
                assertThat(cluster.node(index).orders.isOut("dc-1")).as("node %d", index).isTrue();
            }
        }
    }

    /** Guards against a leaving member that other data centres keep sending calls to. */
    @ParameterizedTest
    @ValueSource(longs = {8, 9, 10})
    void leaveReachesAllDataCentresWithinTwoSeconds(long seed) {
        SimulatedCluster cluster = settled(seed);
        SimulatedCluster.SimulatedNode leaving = cluster.node(7);
        Member self = leaving.table.self();

        leaving.table.updateSelf(
                self.withTarget(self.target().withState(TargetState.LEAVING)), cluster.nowNanos());
        cluster.run(2);

        assertThat(cluster.allObserve(7, MemberState.LEAVING)).isTrue();
    }

    /** Guards against members of a data centre that is cut off and never found again. */
    @Test
    void cutDataCentreIsDetectedAndFoundAgain() {
        SimulatedCluster cluster = settled(11);

        cluster.blocked = (from, to) -> from % DATA_CENTRES == 1 && to % DATA_CENTRES != 1;
        cluster.run(10);
        NodeId lost = cluster.node(1).table.self().node();
        for (int index = 0; index < SIZE; index += DATA_CENTRES) {
            assertThat(cluster.node(index).table.find(lost).orElseThrow().state())
                    .isEqualTo(MemberState.DEAD);
        }
        cluster.blocked = (from, to) -> false;
        cluster.run(10);

        for (int index = 0; index < SIZE; index++) {
            assertThat(cluster.allObserve(index, MemberState.READY)).as("node %d", index).isTrue();
        }
    }

    private static SimulatedCluster settled(long seed) {
        SimulatedCluster cluster = new SimulatedCluster(SIZE, DATA_CENTRES, seed);
        cluster.paced = true;
        cluster.run(10);
        cluster.remoteMessages = 0;
        cluster.remoteUpdateBytes = 0;
        return cluster;
    }
}
