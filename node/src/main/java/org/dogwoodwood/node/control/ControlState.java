package org.dogwoodwood.node.control;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.random.RandomGenerator;
import org.dogwoodwood.codec.gossip.ControlFrameTypes;
import org.dogwoodwood.codec.log.LogStreams;
import org.dogwoodwood.codec.wire.ControlFrame;
import org.dogwoodwood.core.DogwoodwoodException;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.core.membership.CrashReport;
import org.dogwoodwood.core.membership.DataCentreOrder;
import org.dogwoodwood.core.membership.DataCentreOrders;
import org.dogwoodwood.core.membership.GossipMessage;
import org.dogwoodwood.core.membership.GossipStrategy;
import org.dogwoodwood.core.membership.Liveness;
import org.dogwoodwood.core.membership.Member;
import org.dogwoodwood.core.membership.MemberTarget;
import org.dogwoodwood.core.membership.MembershipTable;
import org.dogwoodwood.core.membership.RegistrationList;
import org.dogwoodwood.core.membership.StableHash;
import org.dogwoodwood.core.model.TargetState;
import org.dogwoodwood.core.routing.RoutingTable;
import org.dogwoodwood.node.logging.EventLog;
import org.dogwoodwood.node.logging.LogEvent;
import org.dogwoodwood.node.peer.PeerTransport;

/** The parts of a control plane and the state that they share; used on the control thread. */
final class ControlState implements GossipExchanger.Listener, ConfigurationSource.Listener {

    private static final long PUBLISH_DELAY_MILLIS = 20;
    private static final long MAX_PUBLISH_DELAY_MILLIS = 500;
    // A table of 23,000 members takes milliseconds to build; this bounds it to 5 % of the time.
    private static final long PUBLISH_DELAY_FACTOR = 20;
    private static final long LEAVE_CHECK_MILLIS = 20;
    private static final long LEAVE_TIMEOUT_MILLIS = 1_000;
    private static final long CRASH_HOLD_NANOS = 600_000_000_000L;
    private static final int MAINTENANCE_ROUNDS = 20;

    private final Vertx vertx;
    private final ControlSettings settings;
    private final ControlParts parts;
    private final CrashEvidence crashEvidence;
    private final Consumer<RoutingTable> publisher;
    private final EventLog events;
    private final PlatformLog log;
    private final MembershipTable table;
    private final DataCentreOrders orders = DataCentreOrders.create();
    private final GossipStrategy strategy;
    private final GossipExchanger exchanger;
    private final LogAppender appender;
    private final ConfigurationKeeper configuration;
    private final MembershipKeeper membership;
    private final ConfigurationSource configurationReader;
    private final LogReader membershipReader;
    private final RoutingTableBuilder routes;
    private RoutingTable published = RoutingTable.empty();
    private volatile boolean ready;
    private boolean publishScheduled;
    private long announcedIncarnation;
    private long lastBuildNanos;
    private long rounds;
    private long unknownSinceNanos = -1;

    ControlState(
            Vertx vertx,
            PeerTransport transport,
            ControlSettings settings,
            ControlParts parts,
            RandomGenerator random,
            CrashEvidence crashEvidence,
            Consumer<RoutingTable> publisher,
            EventLog events) {
        this.vertx = vertx;
        this.settings = settings;
        this.parts = parts;
        this.crashEvidence = crashEvidence;
        this.publisher = publisher;
        this.events = events;
        this.log = parts.log().apply(vertx);
        this.announcedIncarnation = settings.incarnation();
        ControlTimes times = parts.times();
        Member self =
                new Member(
                        settings.node(),
                        settings.incarnation(),
                        1,
                        Liveness.ALIVE,
                        false,
                        settings.address(),
                        MemberTarget.none());
        this.table =
                MembershipTable.create(
                        self, times.membership(), this::onMemberChanged, System.nanoTime());
        this.strategy = GossipStrategy.create(table, orders, random);
        this.exchanger =
                new GossipExchanger(vertx, transport, settings, table, strategy, random, this);
        this.appender = new LogAppender(vertx, log, times, random, table::size, events);
        this.configuration =
                new ConfigurationKeeper(
                        vertx,
                        transport,
                        settings,
                        appender,
                        this::rankOf,
                        this::onConfiguration,
                        events);
        this.membership =
                new MembershipKeeper(
                        settings,
                        table,
                        orders,
                        strategy,
                        appender,
                        this::rankOf,
                        this::onOrder,
                        random,
                        parts.keyedCalls());
        this.configurationReader =
                parts.configuration()
                        .map(source -> source.apply(vertx, this))
                        .orElseGet(() -> publications(random));
        this.membershipReader =
                new LogReader(vertx, log, LogStreams.MEMBERSHIP, times, random, membership, events);
        this.routes = new RoutingTableBuilder(table, orders, parts.keyedCalls());
    }

    private ConfigurationSource publications(RandomGenerator random) {
        return new LogReader(
                vertx, log, LogStreams.CONFIGURATION, parts.times(), random, configuration, events);
    }

    void start() {
        configurationReader.start();
        membershipReader.start();
        exchanger.start();
    }

    Future<Void> stop() {
        exchanger.stop();
        configurationReader.stop();
        membershipReader.stop();
        appender.stop();
        return log.close();
    }

    boolean isReady() {
        return ready;
    }

    long incarnation() {
        return table.self().incarnation();
    }

    void onMembershipEntry(Consumer<LogEntry> listener) {
        membership.onEntry(listener);
    }

    void onMembershipEnd(LongConsumer listener) {
        membership.onEnd(listener);
    }

    void onMembershipExpired(LongConsumer listener) {
        membership.onExpired(listener);
    }

    RegistrationList.View registeredMembers(String service) {
        return membership.registrations().view(service);
    }

    ControlReport report() {
        return new ControlReport(
                settings,
                table,
                orders,
                configuration,
                configurationReader,
                membershipReader,
                appender,
                ready);
    }

    void announceTarget(String service, int slots, int connections, TargetState target) {
        Member self = table.self();
        MemberTarget announced = new MemberTarget(service, slots, connections, target);
        boolean leaving = self.target().state() == TargetState.LEAVING;
        if (!announced.equals(self.target()) && !leaving) {
            table.updateSelf(self.withTarget(announced), System.nanoTime());
            exchanger.requestRound();
        }
        membership.ownRegistration().announceIfDue(System.currentTimeMillis());
    }

    Future<Void> announceLeaving() {
        Member self = table.self();
        MemberTarget leaving = self.target().withState(TargetState.LEAVING);
        table.updateSelf(self.withTarget(leaving), System.nanoTime());
        membership.ownRegistration().appendLeave();
        publishNow();
        Promise<Void> told = Promise.promise();
        exchanger.requestRound();
        exchanger
                .exchangeWithContacts()
                .compose(first -> exchanger.exchangeWithContacts())
                .onComplete(done -> completeWhenRecorded(told));
        vertx.setTimer(LEAVE_TIMEOUT_MILLIS, id -> told.tryComplete());
        return told.future();
    }

    void reportCrash(Set<Long> fingerprints) {
        long now = System.nanoTime();
        spread(crashEvidence.onCrash(fingerprints, now), now);
    }

    void reportCleared(Set<Long> fingerprints) {
        long now = System.nanoTime();
        spread(crashEvidence.onCleared(fingerprints, now), now);
    }

    JsonObject orderDataCentre(String dataCentre, JsonObject body) {
        String stateName;
        String orderId;
        try {
            stateName = body.getString("state", "");
            orderId = body.getString("order_id", "");
        } catch (ClassCastException e) {
            throw badOrder();
        }
        boolean out = stateName.equals("out");
        if ((!out && !stateName.equals("in")) || orderId.isBlank() || dataCentre.isBlank()) {
            throw badOrder();
        }
        DataCentreOrder.State wanted = out ? DataCentreOrder.State.OUT : DataCentreOrder.State.IN;
        return ControlReport.toJson(membership.order(dataCentre, wanted, orderId));
    }

    Future<ControlFrame> answer(ControlFrame frame) {
        try {
            return switch (frame.type()) {
                case ControlFrameTypes.GOSSIP ->
                        Future.succeededFuture(exchanger.answerGossip(frame));
                case ControlFrameTypes.CONFIGURATION_REQUEST ->
                        Future.succeededFuture(configuration.answer(frame));
                default -> exchanger.answerIndirectPing(frame);
            };
        } catch (DogwoodwoodException e) {
            events.write(LogEvent.FRAME_REFUSED, "type", frame.type(), "reason", e.getMessage());
            return Future.failedFuture(e);
        }
    }

    @Override
    public void onConfiguration(long version, String document) {
        configuration.onPublished(version, document);
    }

    @Override
    public void onOrders(List<DataCentreOrder> given) {
        boolean changed = false;
        for (DataCentreOrder order : given) {
            if (orders.merge(order)) {
                strategy.onOrder(order);
                changed = true;
            }
        }
        if (changed) {
            onOrder();
        }
    }

    @Override
    public int members() {
        return table.size();
    }

    @Override
    public void onRead() {
        updateReadiness();
    }

    @Override
    public void onMessage(GossipMessage message) {
        crashEvidence.merge(message.crashReports(), System.nanoTime());
        configuration.onMessage(message, configurationReader.isReachable());
        updateReadiness();
        if (!message.crashReports().isEmpty() || routes.isOutdated(System.nanoTime())) {
            schedulePublish();
        }
    }

    @Override
    public void onRound() {
        long nowMillis = System.currentTimeMillis();
        membership.ownRegistration().announceIfDue(nowMillis);
        rounds++;
        if (rounds % MAINTENANCE_ROUNDS == 0) {
            configuration.renewIfDue(nowMillis);
            membership.maintain(nowMillis);
            strategy.forgetCrashReports(System.nanoTime() - CRASH_HOLD_NANOS);
        }
        assumeLogStateIfLost();
        updateReadiness();
        schedulePublish();
    }

    private void onMemberChanged(Member member) {
        if (member.node().equals(settings.node()) && member.incarnation() > announcedIncarnation) {
            announcedIncarnation = member.incarnation();
            events.write(LogEvent.INCARNATION_RAISED, "incarnation", member.incarnation());
        }
        // The table reports its own entry before the strategy exists.
        if (strategy == null) {
            return;
        }
        strategy.onMemberChanged(member);
        if (member.liveness() == Liveness.SUSPECT) {
            events.write(LogEvent.MEMBER_SUSPECT, "node", member.node());
        } else if (member.liveness() == Liveness.DEAD) {
            events.write(LogEvent.MEMBER_DEAD, "node", member.node());
        }
        schedulePublish();
    }

    private void onConfiguration() {
        strategy.onConfiguration(configuration.configuration().version(), configuration.hash());
        exchanger.requestRound();
        schedulePublish();
    }

    private void onOrder() {
        events.write(LogEvent.DATA_CENTRE_ORDER, "orders", orders.all());
        exchanger.requestRound();
        schedulePublish();
    }

    private void updateReadiness() {
        if (ready) {
            return;
        }
        boolean readToEnd =
                configurationReader.isCaughtUp()
                        && membershipReader.isCaughtUp()
                        && configuration.ledger().isLogStateKnown()
                        && (parts.configuration().isEmpty()
                                || configuration.configuration().version() > 0);
        // Without a log there is no published configuration to wait for.
        boolean standalone =
                parts.configuration().isEmpty()
                        && settings.logAddress().isEmpty()
                        && settings.seeds().isEmpty();
        if (readToEnd || standalone || configuration.hasLearnedFromReadyPeer()) {
            ready = true;
            table.updateSelf(table.self().withReady(true), System.nanoTime());
            events.write(LogEvent.NODE_READY, "version", configuration.configuration().version());
            exchanger.requestRound();
        }
    }

    private void assumeLogStateIfLost() {
        boolean lost =
                configurationReader.isCaughtUp() && !configuration.ledger().isLogStateKnown();
        long now = System.nanoTime();
        if (!lost) {
            unknownSinceNanos = -1;
        } else if (unknownSinceNanos < 0) {
            unknownSinceNanos = now;
        } else if (now - unknownSinceNanos > 2_000_000 * parts.times().rankDelayMillis()) {
            configuration.assumeFromFirstRetained();
        }
    }

    private void completeWhenRecorded(Promise<Void> told) {
        if (!membership.ownRegistration().isLeavePending()) {
            told.tryComplete();
        } else if (!told.future().isComplete()) {
            vertx.setTimer(LEAVE_CHECK_MILLIS, id -> completeWhenRecorded(told));
        }
    }

    private void spread(List<CrashReport> reports, long nowNanos) {
        reports.forEach(report -> strategy.onCrashReport(report, nowNanos));
        exchanger.requestRound();
        schedulePublish();
    }

    private static DogwoodwoodException badOrder() {
        return new DogwoodwoodException(
                ErrorCode.BAD_REQUEST,
                "An order needs a data centre, state \"out\" or \"in\", and an order_id.");
    }

    private int rankOf(String subject) {
        long subjectHash = StableHash.of(subject);
        long own = StableHash.combine(subjectHash, StableHash.of(settings.node().value()));
        int rank = 0;
        for (Member member : table.members()) {
            long score = StableHash.combine(subjectHash, StableHash.of(member.node().value()));
            if (member.isPresent() && Long.compareUnsigned(score, own) > 0) {
                rank++;
            }
        }
        return rank;
    }

    private void schedulePublish() {
        if (publishScheduled) {
            return;
        }
        publishScheduled = true;
        long spread = PUBLISH_DELAY_FACTOR * lastBuildNanos / 1_000_000;
        vertx.setTimer(
                Math.max(PUBLISH_DELAY_MILLIS, Math.min(MAX_PUBLISH_DELAY_MILLIS, spread)),
                id -> {
                    publishScheduled = false;
                    publishNow();
                });
    }

    private void publishNow() {
        long now = System.nanoTime();
        RoutingTable next = routes.build(configuration.configuration(), crashEvidence, now);
        lastBuildNanos = System.nanoTime() - now;
        if (!next.equals(published)) {
            published = next;
            publisher.accept(next);
        }
    }
}
