package org.dogwoodwood.faults.simulation;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.dogwoodwood.core.health.CrashFingerprintRegistry;
import org.dogwoodwood.core.health.CrashPolicy;
import org.dogwoodwood.core.health.CrashRecord;
import org.dogwoodwood.core.health.CrashStatus;
import org.dogwoodwood.core.health.CrashSuspicion;
import org.dogwoodwood.core.health.TrialCrash;
import org.dogwoodwood.core.idempotency.DefaultIdempotencyRegistry;
import org.dogwoodwood.core.idempotency.KeyOwnership;
import org.dogwoodwood.core.idempotency.MemberView.RegisteredMember;
import org.dogwoodwood.core.membership.DataCentreOrder;
import org.dogwoodwood.core.membership.DataCentreOrders;
import org.dogwoodwood.core.membership.GossipMessage;
import org.dogwoodwood.core.membership.GossipStrategy;
import org.dogwoodwood.core.membership.Liveness;
import org.dogwoodwood.core.membership.Member;
import org.dogwoodwood.core.membership.MemberState;
import org.dogwoodwood.core.membership.MemberTarget;
import org.dogwoodwood.core.membership.MembershipTable;
import org.dogwoodwood.core.membership.MembershipTimings;
import org.dogwoodwood.core.membership.NodeAddress;
import org.dogwoodwood.core.model.NodeId;
import org.dogwoodwood.core.model.RendezvousHash;
import org.dogwoodwood.core.model.TargetState;

/** The control component of a node: membership, orders, crash fingerprints and gossip. */
public final class SimulatedControl {

    private static final long GOSSIP_INTERVAL_NANOS = 250 * EventLoop.MILLISECOND;
    private static final long TICK_INTERVAL_NANOS = 100 * EventLoop.MILLISECOND;

    /** A gossip message with the other contents of its frame. */
    record GossipEnvelope(
            GossipMessage message,
            List<CrashRecord> crashes,
            RegisteredMember sender,
            Optional<Long> viewOffset) {}

    private final SimulatedNode node;
    private final SimulatedCluster cluster;
    private final EventLoop loop;
    private final MembershipTable table;
    private final DataCentreOrders orders = DataCentreOrders.create();
    private final GossipStrategy gossip;
    private final CrashFingerprintRegistry crashes;
    private final KeyOwnership ownership;
    private final DefaultIdempotencyRegistry keys;
    private final SimulatedMembership membership;
    private final SimulatedConfiguration configuration;
    private boolean ready;

    SimulatedControl(SimulatedNode node, SimulatedCluster cluster) {
        this.node = node;
        this.cluster = cluster;
        this.loop = cluster.loop();
        this.table =
                MembershipTable.create(
                        initialMember(), MembershipTimings.defaults(), this::onChange, loop.now());
        this.gossip = GossipStrategy.create(table, orders, loop.random());
        this.crashes =
                CrashFingerprintRegistry.create(
                        CrashPolicy.of(cluster.policies().policy()).holdNanos());
        this.ownership =
                KeyOwnership.create(
                        SimulatedCluster.SERVICE,
                        node.identity(),
                        SimulatedCluster.KEY_WINDOW_NANOS,
                        SimulatedCluster.KEY_LEASE_NANOS);
        this.keys = DefaultIdempotencyRegistry.create(ownership, SimulatedCluster.KEY_LIMITS);
        this.membership = new SimulatedMembership(node, cluster, this);
        this.configuration = new SimulatedConfiguration(node, cluster, this);
    }

    void start() {
        membership.start();
        configuration.start();
        gossipRound();
        tick();
    }

    void leave() {
        ownership.leave();
        announceState(TargetState.LEAVING);
        membership.appendLeaving();
        gossipNow();
    }

    boolean isHandoverComplete() {
        return membership.isHandoverComplete();
    }

    /** Issues an operator's order at this node. */
    public void order(String dataCentre, DataCentreOrder.State state, String orderId) {
        DataCentreOrder order = orders.issue(dataCentre, state, orderId);
        gossip.onOrderChanged(order.dataCentre());
        membership.appendOrder(order);
        gossipNow();
    }

    /** Returns whether the node has the current configuration and membership. */
    public boolean isReady() {
        return ready;
    }

    DataCentreOrders orders() {
        return orders;
    }

    /** Returns the evidence against a request if it may run on trial only, or empty. */
    Optional<CrashSuspicion> blocked(long fingerprint) {
        return crashes.suspicion(fingerprint, loop.now())
                .filter(found -> found.status(crashPolicy()) == CrashStatus.BLOCKED);
    }

    CrashPolicy crashPolicy() {
        return CrashPolicy.of(cluster.policies().policy());
    }

    KeyOwnership ownership() {
        return ownership;
    }

    DefaultIdempotencyRegistry keys() {
        return keys;
    }

    MembershipTable table() {
        return table;
    }

    GossipStrategy gossip() {
        return gossip;
    }

    SimulatedConfiguration configuration() {
        return configuration;
    }

    long leaseExpiryNanos() {
        return table.ownLeaseExpiryNanos(loop.now());
    }

    /** Returns the members whose targets accept work. */
    List<Member> acceptingMembers() {
        return table.members().stream()
                .filter(Member::isPresent)
                .filter(member -> member.target().isPresent() && member.ready())
                .filter(member -> member.target().state().acceptsWork())
                .filter(member -> !isOut(member.address().dataCentre()))
                .toList();
    }

    private boolean isOut(String dataCentre) {
        return cluster.policies().isOut(orders, dataCentre);
    }

    /** Returns whether the target of this node accepts work. */
    boolean acceptsWork() {
        return table.self().target().state().acceptsWork() && !isOut(node.dataCentre());
    }

    /** Returns the version of the state of this node's target. */
    int targetStateVersion() {
        return table.self().target().stateVersion();
    }

    List<NodeId> acceptingNodes() {
        return acceptingMembers().stream()
                .filter(member -> member.liveness() == Liveness.ALIVE)
                .map(Member::node)
                .toList();
    }

    /**
     * Returns whether this node is responsible for a task that only one node should do: it ranks
     * first for the subject among the members that are ready.
     */
    boolean isResponsibleFor(String subject) {
        List<NodeId> readyNodes =
                table.members().stream()
                        .filter(member -> member.state() == MemberState.READY)
                        .map(Member::node)
                        .toList();
        return RendezvousHash.first(subject, readyNodes).filter(node.id()::equals).isPresent();
    }

    void announceState(TargetState state) {
        if (node.isLeaving() && state != TargetState.LEAVING) {
            return;
        }
        MemberTarget target = table.self().target().withState(state);
        table.updateSelf(table.self().withTarget(target), loop.now());
    }

    void onCrash(long targetIncarnation, Set<Long> fingerprints, Optional<TrialCrash> tried) {
        crashes.onCrash(node.id(), targetIncarnation, fingerprints, tried, loop.now());
        gossipNow();
    }

    /** Records that a target answered a request some time ago. */
    void onAnswered(long targetIncarnation, long fingerprint, long ageNanos) {
        crashes.onAnswered(node.id(), targetIncarnation, fingerprint, ageNanos, loop.now());
    }

    void checkReady() {
        boolean hasReadLogs = membership.hasReadToEnd() && configuration.hasReadToEnd();
        if (!ready && (hasReadLogs || configuration.isConfirmedByReadyPeer())) {
            ready = true;
            table.updateSelf(table.self().withReady(true), loop.now());
            cluster.reportStep(StepContext.ofNode(Step.JOINING, node.id()));
        }
    }

    GossipEnvelope onGossip(GossipEnvelope request) {
        applyEnvelope(request, Optional.empty());
        return envelope(gossip.reply(request.message(), loop.now()));
    }

    private Member initialMember() {
        return new Member(
                node.id(),
                node.incarnation(),
                1,
                Liveness.ALIVE,
                false,
                false,
                new NodeAddress(node.dataCentre(), "127.0.0.1", 0, 0),
                new MemberTarget(
                        SimulatedCluster.SERVICE,
                        SimulatedTarget.SLOTS,
                        SimulatedTarget.CONNECTIONS,
                        TargetState.COLD));
    }

    private void onChange(Member member) {
        if (gossip != null) {
            gossip.onMemberChanged(member);
        }
    }

    private void tick() {
        table.tick(loop.now());
        checkReady();
        node.schedule(TICK_INTERVAL_NANOS, this::tick);
    }

    private void gossipRound() {
        gossipNow();
        node.schedule(GOSSIP_INTERVAL_NANOS, this::gossipRound);
    }

    private void gossipNow() {
        List<NodeId> contacts =
                table.hasPeers()
                        ? gossip.selectPeers().stream().map(Member::node).toList()
                        : cluster.seedNodesOf(node.id());
        contacts.forEach(peer -> exchange(peer, loop.now(), true));
    }

    private void exchange(NodeId peer, long firstSentNanos, boolean retry) {
        long sentNanos = loop.now();
        GossipEnvelope request = envelope(gossip.request(sentNanos));
        Supplier<Boolean> isMember = () -> table.find(peer).isPresent();
        node.call(
                peer,
                other -> other.control().onGossip(request),
                reply -> {
                    applyEnvelope(reply, Optional.of(sentNanos));
                    if (!suspectsThisNode(reply.message())) {
                        table.onAcknowledged(sentNanos);
                    }
                },
                () -> {
                    if (retry) {
                        exchange(peer, firstSentNanos, false);
                    } else if (isMember.get()) {
                        table.suspect(peer, firstSentNanos, loop.now());
                    }
                });
    }

    private boolean suspectsThisNode(GossipMessage message) {
        return message.livenessUpdates().stream()
                .anyMatch(
                        update ->
                                update.node().equals(node.id())
                                        && update.incarnation() == node.incarnation()
                                        && update.liveness() != Liveness.ALIVE);
    }

    private GossipEnvelope envelope(GossipMessage message) {
        Optional<Long> offset =
                ownership.offsetToReport().isPresent()
                        ? Optional.of(ownership.offsetToReport().getAsLong())
                        : Optional.empty();
        return new GossipEnvelope(message, crashes.records(loop.now()), node.identity(), offset);
    }

    private void applyEnvelope(GossipEnvelope envelope, Optional<Long> requestSentNanos) {
        gossip.receive(envelope.message(), loop.now());
        crashes.merge(envelope.crashes(), loop.now());
        // Only a reply confirms the offset, since a request may have been delayed for any time.
        if (requestSentNanos.isPresent() && envelope.viewOffset().isPresent()) {
            ownership.onPeerOffset(
                    envelope.sender(),
                    envelope.viewOffset().get(),
                    requestSentNanos.get(),
                    loop.now());
        }
        configuration.onPeerVersion(
                envelope.sender().node(),
                envelope.message().configurationVersion(),
                envelope.message().sender().ready());
    }
}
