package org.dogwoodwood.node.control;

import static org.assertj.core.api.Assertions.assertThat;
import static org.dogwoodwood.node.control.ControlCluster.dataCentreOf;
import static org.dogwoodwood.node.control.ControlCluster.eventually;
import static org.dogwoodwood.node.control.ControlCluster.findTarget;
import static org.dogwoodwood.node.control.ControlCluster.pause;
import static org.dogwoodwood.node.control.ControlCluster.usableTargets;

import io.vertx.core.json.JsonObject;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.dogwoodwood.core.health.TrialCrash;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

class PeerFaultTests {

    private static final int GOSSIP_ENDS_MILLIS = 4_000;

    /** Guards against an isolated node that keeps its lease while its peers take over. */
    @Tag("known-red")
    @Test
    void leaseOfCutOffNodeLapses() {
        try (ControlCluster cluster = ControlCluster.create()) {
            cluster.startAll(3);
            cluster.awaitTargets(3);
            cluster.network.blocked = (from, to) -> from == 3 || to == 3;
            eventually("the lease lapses", 2_500, () -> !hasLease(cluster.node(3)));
            eventually(
                    "the others no longer choose the isolated node",
                    4_000,
                    () -> usableTargets(cluster.node(1)) == 2);
            cluster.network.blocked = (from, to) -> false;
            cluster.awaitTargets(3);
            assertThat(hasLease(cluster.node(3))).isTrue();
        }
    }

    /** Guards against sides of a partition that stop serving or do not reconcile orders. */
    @Test
    void partitionHealsAndOrdersAreReconciled() {
        try (ControlCluster cluster = ControlCluster.create()) {
            cluster.startAll(6);
            cluster.awaitTargets(6);
            cluster.controlLog(new JsonObject().put("down", true));
            cluster.network.blocked = (from, to) -> !dataCentreOf(from).equals(dataCentreOf(to));
            eventually(
                    "each side serves from its own targets",
                    5_000,
                    () ->
                            usableTargets(cluster.node(1)) == 3
                                    && usableTargets(cluster.node(2)) == 3);
            assertThat(hasLease(cluster.node(1)) && hasLease(cluster.node(2))).isTrue();
            cluster.order(1, "a", "in");
            cluster.order(2, "a", "out");
            pause(4_000);
            cluster.network.blocked = (from, to) -> false;
            eventually(
                    "the order to take the data centre out wins everywhere",
                    8_000,
                    () ->
                            usableTargets(cluster.node(1)) == 3
                                    && usableTargets(cluster.node(2)) == 3);
            eventually(
                    "all members are known again",
                    8_000,
                    () ->
                            cluster.node(1).routingTable().targetsOf(ControlCluster.SERVICE).size()
                                    == 6);
        }
    }

    /** Guards against updates that depend on a single message or are applied twice. */
    @Test
    @Tag("known-red")
    void lostAndDuplicatedMessagesAreTolerated() {
        try (ControlCluster cluster = ControlCluster.create()) {
            cluster.network.loseEveryNth = 4;
            cluster.network.duplicate = true;
            cluster.startAll(5);
            cluster.awaitTargets(5);
            cluster.controlLog(new JsonObject().put("down", true));
            cluster.order(1, "a", "out");
            eventually(
                    "the order is in force",
                    2_000,
                    () ->
                            findTarget(cluster.node(5), 2)
                                    .filter(found -> found.dataCentreOut())
                                    .isPresent());
            cluster.node(1).reportCrash(Set.of(7L), Optional.empty());
            eventually(
                    "the request is suspect everywhere",
                    2_000,
                    () -> cluster.node(4).routingTable().suspicions().containsKey(7L));
            cluster.node(2).reportCrash(Set.of(7L), Optional.empty());
            eventually(
                    "the request is blocked after the second crash",
                    2_000,
                    () -> isBlocked(cluster.node(5), 7L));
            cluster.node(3).reportAnswered(7L, 0);
            eventually(
                    "a success at one node clears the request everywhere",
                    2_000,
                    () -> cluster.node(4).routingTable().suspicions().isEmpty());
        }
    }

    /** Guards against a request that crashes targets again because of nodes that have started. */
    @Test
    void startedNodeLearnsOfCrashesOnTrial() {
        try (ControlCluster cluster = ControlCluster.create()) {
            cluster.startAll(3);
            cluster.awaitTargets(3);
            Optional<TrialCrash> tried = Optional.of(new TrialCrash(7L, false));
            cluster.node(1).reportCrash(Set.of(7L), tried);
            eventually("it is known", 2_000, () -> isBlocked(cluster.node(3), 7L));
            // By then, gossip has sent the report as often as it does.
            pause(GOSSIP_ENDS_MILLIS);

            cluster.kill(2);
            cluster.start(2, 200);
            eventually(
                    "the process that has started knows it, too",
                    5_000,
                    () -> isBlocked(cluster.node(2), 7L));
        }
    }

    /** Guards against calls of a node without a target that count as those of its last process. */
    @Test
    void nodeWithoutTargetLearnsTheIncarnationByWhichPeersKnowIt() {
        try (ControlCluster cluster = ControlCluster.create()) {
            cluster.startAll(2);
            cluster.awaitTargets(2);
            cluster.kill(2);
            AtomicLong known = new AtomicLong();
            cluster.startWithoutTarget(2, 50).onIncarnation(known::set);
            eventually("its incarnation is raised", 5_000, () -> known.get() > 100);
        }
    }

    /** Guards against calls to the previous process of a restarted node. */
    @Test
    void restartedNodeIsRoutedUnderItsNewIncarnation() {
        try (ControlCluster cluster = ControlCluster.create()) {
            cluster.startAll(3);
            cluster.awaitTargets(3);
            cluster.kill(2);
            cluster.start(2, 200);
            eventually(
                    "the new incarnation is routed to",
                    5_000,
                    () ->
                            findTarget(cluster.node(1), 2)
                                    .filter(found -> found.incarnation() == 200)
                                    .filter(found -> found.acceptsWork())
                                    .isPresent());
            cluster.awaitTargets(3);
        }
    }

    /**
     * Guards against a paused process that keeps its lease or suspects its peers after the pause.
     */
    @Test
    void pausedNodeHasNoLeaseUntilItExchangedGossip() {
        try (ControlCluster cluster = ControlCluster.create()) {
            cluster.startAll(3);
            cluster.awaitTargets(3);
            DefaultControlPlane paused = cluster.node(3);
            AtomicBoolean pauseOnce = new AtomicBoolean(true);
            paused.onRoutingTable(
                    table -> {
                        if (pauseOnce.getAndSet(false)) {
                            pause(5_000);
                        }
                    });
            eventually("the lease lapses", 4_000, () -> !hasLease(paused));
            eventually(
                    "the others no longer choose the paused node",
                    4_500,
                    () -> usableTargets(cluster.node(1)) == 2);
            assertThat(hasLease(paused)).isFalse();
            eventually("the lease returns", 4_000, () -> hasLease(paused));
            assertThat(usableTargets(paused)).isGreaterThanOrEqualTo(2);
            cluster.awaitTargets(3);
        }
    }

    private static boolean isBlocked(DefaultControlPlane node, long fingerprint) {
        return node.routingTable().blocked(ControlCluster.SERVICE, fingerprint).isPresent();
    }

    private static boolean hasLease(DefaultControlPlane node) {
        return node.routingTable().ownLeaseExpiryNanos() > System.nanoTime();
    }
}
