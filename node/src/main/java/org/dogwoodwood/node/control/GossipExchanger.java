package org.dogwoodwood.node.control;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.dogwoodwood.codec.gossip.ControlFrameTypes;
import org.dogwoodwood.codec.gossip.GossipCodec;
import org.dogwoodwood.codec.gossip.IndirectPing;
import org.dogwoodwood.codec.wire.ControlFrame;
import org.dogwoodwood.core.membership.GossipMessage;
import org.dogwoodwood.core.membership.GossipStrategy;
import org.dogwoodwood.core.membership.Liveness;
import org.dogwoodwood.core.membership.Member;
import org.dogwoodwood.core.membership.MembershipTable;
import org.dogwoodwood.core.membership.NodeAddress;
import org.dogwoodwood.core.model.NodeId;
import org.dogwoodwood.node.peer.PeerTransport;
import org.dogwoodwood.node.settings.Endpoint;

/** Runs the rounds of gossip and detects members that do not answer; used on the control thread. */
final class GossipExchanger {

    private static final int HELPERS = 2;
    private static final int SEED_ROUNDS = 40;
    private static final long EXTRA_ROUND_MILLIS = 50;

    // Peers refuse or lose calls of a restarted node until they know its new incarnation.
    private static final int START_ROUNDS = 20;
    private static final int START_ROUND_MILLIS = 100;

    private final Vertx vertx;
    private final PeerTransport transport;
    private final ControlSettings settings;
    private final MembershipTable table;
    private final GossipStrategy strategy;
    private final RandomGenerator random;
    private final Listener listener;
    private final Set<NodeId> checking = new HashSet<>();
    private long timer = -1;
    private long round;
    private boolean extraRoundScheduled;
    private boolean stopped;

    /** Is told of exchanges, on the control thread. */
    interface Listener {

        /** Takes in a message of a peer that has been merged. */
        void onMessage(GossipMessage message);

        /** Takes in that time has advanced by a round. */
        void onRound();
    }

    GossipExchanger(
            Vertx vertx,
            PeerTransport transport,
            ControlSettings settings,
            MembershipTable table,
            GossipStrategy strategy,
            RandomGenerator random,
            Listener listener) {
        this.vertx = vertx;
        this.transport = transport;
        this.settings = settings;
        this.table = table;
        this.strategy = strategy;
        this.random = random;
        this.listener = listener;
    }

    void start() {
        timer = vertx.setPeriodic(settings.times().gossipIntervalMillis(), id -> runRound());
        runRound();
        startRound(START_ROUNDS);
    }

    void stop() {
        stopped = true;
        vertx.cancelTimer(timer);
    }

    /** Exchanges gossip once more soon, after something urgent has changed. */
    void requestRound() {
        if (extraRoundScheduled || stopped) {
            return;
        }
        extraRoundScheduled = true;
        vertx.setTimer(
                1 + random.nextLong(EXTRA_ROUND_MILLIS),
                id -> {
                    extraRoundScheduled = false;
                    exchangeWithContacts();
                });
    }

    /** Exchanges gossip with the next contacts and returns when one of them has answered. */
    Future<Void> exchangeWithContacts() {
        if (stopped) {
            return Future.succeededFuture();
        }
        List<Future<Void>> exchanges =
                strategy.nextContacts().stream().map(this::exchangeWith).toList();
        return exchanges.isEmpty() ? Future.succeededFuture() : Future.any(exchanges).mapEmpty();
    }

    /** Answers a GOSSIP frame. */
    ControlFrame answerGossip(ControlFrame frame) {
        long now = System.nanoTime();
        GossipMessage request = GossipCodec.decode(frame.payload());
        GossipMessage reply = strategy.reply(request, now);
        listener.onMessage(request);
        return ControlFrame.of(ControlFrameTypes.GOSSIP_REPLY, GossipCodec.encode(reply));
    }

    /** Answers an INDIRECT_PING frame after an exchange with the node that it names. */
    Future<ControlFrame> answerIndirectPing(ControlFrame frame) {
        NodeId subject = IndirectPing.decode(frame.payload()).node();
        Optional<Member> member = table.find(subject);
        if (member.isEmpty()) {
            return Future.succeededFuture(pong(subject, false));
        }
        return exchange(member.get().address())
                .map(pong(subject, true))
                .otherwise(pong(subject, false));
    }

    private void startRound(int left) {
        if (left > 0 && !stopped) {
            exchangeWithContacts();
            vertx.setTimer(START_ROUND_MILLIS, id -> startRound(left - 1));
        }
    }

    private void runRound() {
        table.tick(System.nanoTime());
        listener.onRound();
        round++;
        exchangeWithContacts();
        // Seeds lead back to members that were forgotten during a long partition.
        boolean seedDue = !table.hasPeers() || round % SEED_ROUNDS == 0;
        if (seedDue && !settings.seeds().isEmpty() && !stopped) {
            List<Endpoint> seeds = settings.seeds();
            Endpoint seed = seeds.get(random.nextInt(seeds.size()));
            if (!isSelf(seed)) {
                exchange(new NodeAddress("", seed.host(), seed.port(), 0));
            }
        }
    }

    private boolean isSelf(Endpoint seed) {
        NodeAddress own = settings.address();
        return seed.port() == own.peerPort() && seed.host().equals(own.host());
    }

    private Future<Void> exchangeWith(Member peer) {
        long sentNanos = System.nanoTime();
        return exchange(peer.address())
                .onFailure(
                        failure -> {
                            if (peer.liveness() == Liveness.ALIVE) {
                                check(peer, sentNanos);
                            }
                        });
    }

    private Future<Void> exchange(NodeAddress address) {
        long sentNanos = System.nanoTime();
        GossipMessage request = strategy.request(sentNanos);
        ControlFrame frame = ControlFrame.of(ControlFrameTypes.GOSSIP, GossipCodec.encode(request));
        return transport
                .exchange(
                        address.host(),
                        address.peerPort(),
                        frame,
                        settings.times().exchangeTimeoutMillis())
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
        strategy.receive(reply, System.nanoTime());
        // A peer that held this node suspect has not acknowledged its lease.
        if (table.self().version() == before) {
            table.onAcknowledged(sentNanos);
        } else {
            requestRound();
        }
        listener.onMessage(reply);
    }

    private void check(Member peer, long sentNanos) {
        if (stopped || !checking.add(peer.node())) {
            return;
        }
        List<Member> helpers = strategy.helpersFor(peer.node(), HELPERS);
        List<Future<Void>> pings = helpers.stream().map(helper -> ask(helper, peer)).toList();
        Future<Void> reached =
                pings.isEmpty() ? exchange(peer.address()) : Future.any(pings).mapEmpty();
        reached.onComplete(
                alive -> checking.remove(peer.node()),
                failure -> {
                    checking.remove(peer.node());
                    table.suspect(peer.node(), sentNanos, System.nanoTime());
                });
    }

    private Future<Void> ask(Member helper, Member subject) {
        ControlFrame frame =
                ControlFrame.of(
                        ControlFrameTypes.INDIRECT_PING,
                        new IndirectPing(subject.node(), false).encode());
        return transport
                .exchange(
                        helper.address().host(),
                        helper.address().peerPort(),
                        frame,
                        2 * settings.times().exchangeTimeoutMillis())
                .compose(
                        pong ->
                                IndirectPing.decode(pong.payload()).alive()
                                        ? Future.succeededFuture()
                                        : Future.failedFuture("The member was not reached."));
    }

    private static ControlFrame pong(NodeId subject, boolean alive) {
        return ControlFrame.of(
                ControlFrameTypes.INDIRECT_PONG, new IndirectPing(subject, alive).encode());
    }
}
