package org.dogwoodwood.node.control;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongFunction;
import java.util.random.RandomGenerator;
import org.dogwoodwood.codec.gossip.ControlFrameTypes;
import org.dogwoodwood.codec.gossip.GossipCodec;
import org.dogwoodwood.codec.gossip.IndirectPing;
import org.dogwoodwood.codec.wire.ControlFrame;
import org.dogwoodwood.core.balancing.CapacityTable;
import org.dogwoodwood.core.membership.GossipMessage;
import org.dogwoodwood.core.membership.GossipPace;
import org.dogwoodwood.core.membership.GossipRound;
import org.dogwoodwood.core.membership.GossipStrategy;
import org.dogwoodwood.core.membership.Liveness;
import org.dogwoodwood.core.membership.Member;
import org.dogwoodwood.core.membership.MembershipTable;
import org.dogwoodwood.core.membership.NodeAddress;
import org.dogwoodwood.core.model.NodeId;
import org.dogwoodwood.node.peer.PeerTransport;
import org.dogwoodwood.node.settings.Endpoint;

/** Runs gossip rounds and detects members that do not respond; used on the control thread. */
final class GossipExchanger {

    private static final int INDIRECT_PROBERS = 2;
    private static final int ROUNDS_PER_SEED_EXCHANGE = 40;
    private static final long MAX_EXTRA_ROUND_DELAY_MILLIS = 50;

    // Peers reject or lose calls from a restarted node until they have its new incarnation.
    private static final int STARTUP_ROUNDS = 8;
    private static final int STARTUP_ROUND_INTERVAL_MILLIS = 200;

    private final Vertx vertx;
    private final PeerTransport transport;
    private final ControlSettings settings;
    private final MembershipTable table;
    private final GossipStrategy strategy;
    private final CapacityTable capacities;
    private final RandomGenerator random;
    private final Listener listener;
    private final GossipPace pace = GossipPace.create(System.nanoTime());
    private final Set<NodeId> probing = new HashSet<>();
    private long timer = -1;
    private long roundCount;
    private boolean extraRoundScheduled;
    private boolean stopped;

    /** Receives gossip messages and round events, on the control thread. */
    interface Listener {

        /** Handles a message from a peer after it has been merged into the membership table. */
        void onMessage(GossipMessage message);

        /** Called once in each gossip round, after the failure detector's clock has advanced. */
        void onRound();
    }

    GossipExchanger(
            Vertx vertx,
            PeerTransport transport,
            ControlSettings settings,
            MembershipTable table,
            GossipStrategy strategy,
            CapacityTable capacities,
            RandomGenerator random,
            Listener listener) {
        this.vertx = vertx;
        this.transport = transport;
        this.settings = settings;
        this.table = table;
        this.strategy = strategy;
        this.capacities = capacities;
        this.random = random;
        this.listener = listener;
    }

    void start() {
        timer = vertx.setPeriodic(settings.timings().gossipIntervalMillis(), id -> runRound());
        runRound();
        runStartupRound(STARTUP_ROUNDS);
    }

    void stop() {
        stopped = true;
        vertx.cancelTimer(timer);
    }

    /** Schedules an extra exchange shortly, to disseminate an urgent change. */
    void requestExtraRound() {
        if (extraRoundScheduled || stopped) {
            return;
        }
        extraRoundScheduled = true;
        vertx.setTimer(
                1 + random.nextLong(MAX_EXTRA_ROUND_DELAY_MILLIS),
                id -> {
                    extraRoundScheduled = false;
                    exchangeWithContacts();
                });
    }

    /**
     * Exchanges gossip with the next contacts.
     *
     * @return a future that completes when the first contact has replied, and fails if none does
     */
    Future<Void> exchangeWithContacts() {
        return exchangeWithContacts(GossipRound.FULL);
    }

    private Future<Void> exchangeWithContacts(GossipRound round) {
        if (stopped) {
            return Future.succeededFuture();
        }
        List<Future<Void>> exchanges =
                strategy.selectPeers(round).stream().map(this::exchangeWith).toList();
        return exchanges.isEmpty() ? Future.succeededFuture() : Future.any(exchanges).mapEmpty();
    }

    /** Answers a GOSSIP frame. */
    ControlFrame answerGossip(ControlFrame frame) {
        long now = System.nanoTime();
        GossipMessage request = GossipCodec.decode(frame.payload());
        String peerDataCentre = request.sender().address().dataCentre();
        GossipMessage reply =
                strategy.reply(request, now)
                        .withCapacities(capacities.messageTo(peerDataCentre, now));
        request.capacities().forEach(capacity -> capacities.add(capacity, now));
        listener.onMessage(request);
        return ControlFrame.of(ControlFrameTypes.GOSSIP_REPLY, GossipCodec.encode(reply));
    }

    /** Answers an INDIRECT_PING frame with whether the node that it names responds to this node. */
    Future<ControlFrame> answerIndirectPing(ControlFrame frame) {
        NodeId subject = IndirectPing.decode(frame.payload()).node();
        Optional<Member> member = table.find(subject);
        if (member.isEmpty()) {
            return Future.succeededFuture(pong(subject, false));
        }
        return exchange(member.get()).map(pong(subject, true)).otherwise(pong(subject, false));
    }

    private void runStartupRound(int remaining) {
        if (remaining > 0 && !stopped) {
            exchangeWithContacts(GossipRound.NEWS);
            vertx.setTimer(STARTUP_ROUND_INTERVAL_MILLIS, id -> runStartupRound(remaining - 1));
        }
    }

    private void runRound() {
        long now = System.nanoTime();
        table.tick(now);
        listener.onRound();
        roundCount++;
        exchangeWithContacts(pace.next(strategy.news(), table.lastAcknowledgedNanos(), now));
        // Exchanges with seeds rediscover members that were dropped during a long partition.
        boolean seedDue = !table.hasPeers() || roundCount % ROUNDS_PER_SEED_EXCHANGE == 0;
        if (seedDue && !settings.seeds().isEmpty() && !stopped) {
            List<Endpoint> seeds = settings.seeds();
            Endpoint seed = seeds.get(random.nextInt(seeds.size()));
            if (!isSelf(seed)) {
                exchange(new NodeAddress("", seed.host(), seed.port(), 0), strategy::request);
            }
        }
    }

    private boolean isSelf(Endpoint seed) {
        NodeAddress own = settings.address();
        return seed.port() == own.peerPort() && seed.host().equals(own.host());
    }

    private Future<Void> exchangeWith(Member peer) {
        long sentNanos = System.nanoTime();
        return exchange(peer)
                .onFailure(
                        failure -> {
                            if (peer.liveness() == Liveness.ALIVE) {
                                probeIndirectly(peer, sentNanos);
                            }
                        });
    }

    private Future<Void> exchange(Member peer) {
        return exchange(peer.address(), sentNanos -> strategy.request(peer, sentNanos));
    }

    private Future<Void> exchange(NodeAddress address, LongFunction<GossipMessage> composer) {
        long sentNanos = System.nanoTime();
        GossipMessage request =
                composer.apply(sentNanos)
                        .withCapacities(capacities.messageTo(address.dataCentre(), sentNanos));
        ControlFrame frame = ControlFrame.of(ControlFrameTypes.GOSSIP, GossipCodec.encode(request));
        return transport
                .exchange(
                        address.host(),
                        address.peerPort(),
                        frame,
                        settings.timings().exchangeTimeoutMillis())
                .map(reply -> GossipCodec.decode(reply.payload()))
                .map(
                        reply -> {
                            onReply(reply, sentNanos);
                            return null;
                        });
    }

    private void onReply(GossipMessage reply, long sentNanos) {
        if (stopped) {
            return;
        }
        long before = table.self().version();
        long now = System.nanoTime();
        strategy.receive(reply, now);
        reply.capacities().forEach(capacity -> capacities.add(capacity, now));
        // A reply that raises this node's version came from a peer that suspected this node, and
        // does not acknowledge its lease.
        if (table.self().version() == before) {
            table.onAcknowledged(sentNanos);
        } else {
            requestExtraRound();
        }
        listener.onMessage(reply);
    }

    private void probeIndirectly(Member peer, long sentNanos) {
        if (stopped || !probing.add(peer.node())) {
            return;
        }
        List<Member> probers = strategy.selectIndirectProbers(peer.node(), INDIRECT_PROBERS);
        List<Future<Void>> pings =
                probers.stream().map(prober -> pingThrough(prober, peer)).toList();
        Future<Void> reached = pings.isEmpty() ? exchange(peer) : Future.any(pings).mapEmpty();
        reached.onComplete(
                alive -> probing.remove(peer.node()),
                failure -> {
                    probing.remove(peer.node());
                    table.suspect(peer.node(), sentNanos, System.nanoTime());
                });
    }

    private Future<Void> pingThrough(Member prober, Member subject) {
        ControlFrame frame =
                ControlFrame.of(
                        ControlFrameTypes.INDIRECT_PING,
                        new IndirectPing(subject.node(), false).encode());
        return transport
                .exchange(
                        prober.address().host(),
                        prober.address().peerPort(),
                        frame,
                        2 * settings.timings().exchangeTimeoutMillis())
                .compose(
                        pong ->
                                IndirectPing.decode(pong.payload()).alive()
                                        ? Future.succeededFuture()
                                        : Future.failedFuture(
                                                "The helper could not reach the member."));
    }

    private static ControlFrame pong(NodeId subject, boolean alive) {
        return ControlFrame.of(
                ControlFrameTypes.INDIRECT_PONG, new IndirectPing(subject, alive).encode());
    }
}
