package org.dogwoodwood.core.membership;

import static org.assertj.core.api.Assertions.assertThat;
import static org.dogwoodwood.core.membership.SimulatedCluster.SECOND_NANOS;

import org.dogwoodwood.core.model.NodeId;
import org.junit.jupiter.api.Test;

class MembershipTableTests {

    /** Guards against a crashed member that stays in use or is never removed. */
    @Test
    void crashedMemberIsSuspectThenDeadThenRemoved() {
        SimulatedCluster cluster = new SimulatedCluster(10, 2, 1);
        cluster.run(2);
        cluster.node(7).running = false;
        cluster.run(3);
        assertThat(cluster.node(0).table.find(NodeId.of("7")).orElseThrow().state())
                .isIn(MemberState.SUSPECT, MemberState.DEAD);
        cluster.run(3);
        assertThat(cluster.allObserve(7, MemberState.DEAD)).isTrue();
        cluster.run(16 * 60);
        assertThat(cluster.node(0).table.find(NodeId.of("7"))).isEmpty();
        assertThat(cluster.node(9).table.find(NodeId.of("7"))).isEmpty();
    }

    /** Guards against a false suspicion that the suspected member cannot refute. */
    @Test
    void aliveMemberRefutesSuspicion() {
        SimulatedCluster cluster = new SimulatedCluster(40, 4, 2);
        cluster.run(2);
        long now = cluster.nowNanos();
        MembershipTable suspecting = cluster.node(0).table;
        assertThat(suspecting.suspect(NodeId.of("9"), now, now)).isTrue();
        cluster.run(4);
        assertThat(cluster.allObserve(9, MemberState.READY)).isTrue();
        assertThat(cluster.node(9).table.self().version()).isGreaterThan(1);
    }

    /** Guards against a node with a broken link that declares all other members dead. */
    @Test
    void isolatedNodeSuspectsNoMember() {
        SimulatedCluster cluster = new SimulatedCluster(20, 2, 3);
        cluster.run(2);
        cluster.blocked = (from, to) -> from == 4 || to == 4;
        cluster.run(30);
        assertThat(cluster.allObserve(4, MemberState.READY)).isFalse();
        MembershipTable isolated = cluster.node(4).table;
        assertThat(isolated.members()).allMatch(Member::isPresent);
        assertThat(isolated.isIsolated(cluster.nowNanos())).isTrue();
        cluster.blocked = (from, to) -> false;
        cluster.run(10);
        assertThat(cluster.allObserve(4, MemberState.READY)).isTrue();
    }

    /**
     * Guards against a node that starts calls after a pause before it has exchanged gossip again.
     */
    @Test
    void leaseOfPausedNodeStaysExpiredUntilAcknowledged() {
        SimulatedCluster cluster = new SimulatedCluster(6, 2, 4);
        cluster.run(2);
        cluster.node(3).running = false;
        cluster.run(10);
        MembershipTable paused = cluster.node(3).table;
        long now = cluster.nowNanos();
        assertThat(paused.ownLeaseExpiryNanos(now)).isLessThan(now);
        paused.tick(now);
        assertThat(paused.ownLeaseExpiryNanos(now)).isLessThan(now);
        assertThat(paused.members()).allMatch(Member::isPresent);
        cluster.node(3).running = true;
        cluster.run(2);
        now = cluster.nowNanos();
        assertThat(paused.ownLeaseExpiryNanos(now)).isBetween(now, now + 2 * SECOND_NANOS);
        cluster.run(4);
        assertThat(cluster.allObserve(3, MemberState.READY)).isTrue();
    }

    /** Guards against a lone survivor whose lease waits indefinitely for dead peers. */
    @Test
    void survivorOfTwoNodesMayStartCallsAfterIsolationTimeout() {
        SimulatedCluster cluster = new SimulatedCluster(2, 1, 5);
        cluster.run(2);
        cluster.node(1).running = false;
        cluster.run(2.5);
        MembershipTable survivor = cluster.node(0).table;
        assertThat(survivor.ownLeaseExpiryNanos(cluster.nowNanos())).isLessThan(cluster.nowNanos());
        cluster.run(2);
        assertThat(survivor.ownLeaseExpiryNanos(cluster.nowNanos())).isEqualTo(Long.MAX_VALUE);
    }

    /** Guards against members that do not exchange gossip again after a partition heals. */
    @Test
    void membersRecoverAfterPartition() {
        SimulatedCluster cluster = new SimulatedCluster(30, 3, 6);
        cluster.run(2);
        cluster.blocked = (from, to) -> (from % 3 == 0) != (to % 3 == 0);
        cluster.run(120);
        assertThat(cluster.node(1).table.find(NodeId.of("0")).orElseThrow().state())
                .isEqualTo(MemberState.DEAD);
        assertThat(cluster.node(0).table.find(NodeId.of("3")).orElseThrow().state())
                .isEqualTo(MemberState.READY);
        cluster.blocked = (from, to) -> false;
        cluster.run(10);
        for (int index = 0; index < 30; index++) {
            assertThat(cluster.allObserve(index, MemberState.READY)).as("member " + index).isTrue();
        }
        assertThat(cluster.largestUpdateBytes).isLessThanOrEqualTo(GossipStrategy.MAX_UPDATE_BYTES);
    }

    /** Guards against an old entry that takes precedence over a restarted process. */
    @Test
    void newIncarnationReplacesTheOldOne() {
        SimulatedCluster cluster = new SimulatedCluster(30, 3, 7);
        cluster.run(2);
        cluster.node(5).running = false;
        cluster.run(8);
        cluster.restart(5, 200, 0);
        cluster.run(6);
        assertThat(cluster.allObserve(5, MemberState.READY)).isTrue();
        assertThat(cluster.node(20).table.find(NodeId.of("5")).orElseThrow().incarnation())
                .isEqualTo(200);
        assertThat(cluster.node(5).table.size()).isEqualTo(30);
    }

    /** Guards against a restarted process with a slow clock that chooses a lower incarnation. */
    @Test
    void lowerIncarnationIsRaised() {
        SimulatedCluster cluster = new SimulatedCluster(4, 1, 8);
        cluster.run(1);
        cluster.restart(2, 50, 0);
        cluster.run(2);
        assertThat(cluster.node(2).table.self().incarnation()).isGreaterThan(100);
        assertThat(cluster.allObserve(2, MemberState.READY)).isTrue();
    }
}
