package org.dogwoodwood.node.control;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.random.RandomGenerator;
import org.dogwoodwood.codec.gossip.ControlFrameTypes;
import org.dogwoodwood.codec.log.LogStreams;
import org.dogwoodwood.codec.wire.ControlFrame;
import org.dogwoodwood.core.DogwoodwoodException;
import org.dogwoodwood.core.balancing.CapacityTable;
import org.dogwoodwood.core.configuration.Configuration;
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

/**
 * Connects the components of a control plane and holds the state that they share; used on the
 * control thread.
 */
final class ControlState implements GossipExchanger.Listener {

    private static final long LEAVE_CHECK_INTERVAL_MILLIS = 20;
    private static final long LEAVE_TIMEOUT_MILLIS = 1_000;
    private static final long CRASH_REPORT_RETENTION_NANOS = 600_000_000_000L;
    private static final int ROUNDS_PER_MAINTENANCE = 20;

    private final Vertx vertx;
    private final ControlSettings settings;
    private final ControlComponents components;
    private final CrashEvidence crashEvidence;
    private final EventLog events;
    private final PlatformLog log;
    private final MembershipTable table;
    private final DataCentreOrders orders = DataCentreOrders.create();
    private final GossipStrategy strategy;
    private final GossipExchanger exchanger;
    private final LogAppender appender;
    private final ConfigurationManager configurationManager;
    private final MembershipManager membership;
    private final SourceFollower sourceFollower;
    private final ConfigurationSource configurationReader;
    private final LogReader membershipReader;
    private final RoutingTablePublisher routingTablePublisher;
    private final StartCheck startCheck;
    private final TargetLeaveRecorder leaveRecorder;
    private final CrashReports crashReports;
    private List<DataCentreOrder> loggedOrders = List.of();
    private volatile boolean ready;
    private long highestIncarnation;
    private long roundCount;
    private long logStateUnknownSinceNanos = -1;

    ControlState(
            Vertx vertx,
            PeerTransport transport,
            ControlSettings settings,
            ControlComponents components,
            RandomGenerator random,
            CrashEvidence crashEvidence,
            CapacityTable capacities,
            Consumer<RoutingTable> publisher,
            EventLog events) {
        this.vertx = vertx;
        this.settings = settings;
        this.components = components;
        this.crashEvidence = crashEvidence;
        this.events = events;
        this.log = components.logFactory().apply(vertx);
        this.highestIncarnation = settings.incarnation();
        ControlTimings timings = components.timings();
        this.table =
                MembershipTable.create(
                        joining(settings),
                        timings.membership(),
                        this::onMemberChanged,
                        System.nanoTime());
        this.strategy = GossipStrategy.create(table, orders, random);
        this.exchanger = createExchanger(transport, capacities, random);
        this.appender = new LogAppender(vertx, log, timings, random, table::size, events);
        this.configurationManager =
                new ConfigurationManager(
                        vertx,
                        transport,
                        settings,
                        appender,
                        this::rankOf,
                        this::onConfigurationChanged,
                        events);
        this.leaveRecorder = createLeaveRecorder();
        this.membership = createMembership(random);
        this.sourceFollower =
                new SourceFollower(
                        table,
                        orders,
                        strategy,
                        configurationManager,
                        this::onOrdersChanged,
                        this::updateReadiness);
        this.configurationReader =
                components
                        .configurationSourceFactory()
                        .map(source -> source.apply(vertx, sourceFollower))
                        .orElseGet(() -> createPublicationReader(random));
        this.membershipReader =
                new LogReader(
                        vertx, log, LogStreams.MEMBERSHIP, timings, random, membership, events);
        this.startCheck = new StartCheck(table, exchanger::requestExtraRound);
        this.routingTablePublisher = createPublisher(publisher);
        this.crashReports =
                new CrashReports(crashEvidence, strategy, exchanger, routingTablePublisher);
    }

    private static Member joining(ControlSettings settings) {
        return new Member(
                settings.node(),
                settings.incarnation(),
                1,
                Liveness.ALIVE,
                false,
                false,
                settings.address(),
                MemberTarget.none());
    }

    private TargetLeaveRecorder createLeaveRecorder() {
        return new TargetLeaveRecorder(
                vertx,
                settings,
                table,
                strategy.leaves(),
                appender,
                exchanger::exchangeWithContacts,
                components.leaves());
    }

    private MembershipManager createMembership(RandomGenerator random) {
        return new MembershipManager(
                settings,
                table,
                orders,
                strategy,
                appender,
                this::rankOf,
                this::isHeldBySource,
                this::onOrdersChanged,
                leaveRecorder::onRecord,
                random,
                components.keyedCalls());
    }

    private GossipExchanger createExchanger(
            PeerTransport transport, CapacityTable capacities, RandomGenerator random) {
        return new GossipExchanger(
                vertx, transport, settings, table, strategy, capacities, random, this);
    }

    private RoutingTablePublisher createPublisher(Consumer<RoutingTable> receiver) {
        return RoutingTablePublisher.create(
                vertx,
                new RoutingTableBuilder(table, orders, components.keyedCalls()),
                this::usableConfiguration,
                crashEvidence,
                receiver);
    }

    private ConfigurationSource createPublicationReader(RandomGenerator random) {
        return new LogReader(
                vertx,
                log,
                LogStreams.CONFIGURATION,
                components.timings(),
                random,
                configurationManager,
                events);
    }

    void start() {
        log.onRestored(this::onLogRestored);
        components.leaves().connect(vertx.getOrCreateContext(), leaveRecorder);
        PreviousProcess.logOnceRead(membership, settings, events);
        configurationReader.start();
        membershipReader.start();
        exchanger.start();
    }

    private void onLogRestored() {
        membership.onLogRestored();
        leaveRecorder.onLogRestored();
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
        membership.addEntryListener(listener);
    }

    void onMembershipEndReached(LongConsumer listener) {
        membership.addEndListener(listener);
    }

    void onMembershipExpired(LongConsumer listener) {
        membership.addExpiryListener(listener);
    }

    RegistrationList.View registeredMembers(String service) {
        return membership.registrations().view(service);
    }

    ControlReport report() {
        return new ControlReport(
                settings,
                table,
                orders,
                configurationManager,
                configurationReader,
                membershipReader,
                appender,
                ready);
    }

    void announceTarget(MemberTarget announced) {
        Member self = table.self();
        boolean leaving = self.target().state() == TargetState.LEAVING;
        if (!announced.equals(self.target()) && !leaving) {
            table.updateSelf(self.withTarget(announced), System.nanoTime());
            exchanger.requestExtraRound();
        }
        membership.ownRegistration().announceIfDue(System.currentTimeMillis());
    }

    Future<Void> announceLeaving() {
        Member self = table.self();
        MemberTarget leaving = self.target().withState(TargetState.LEAVING);
        table.updateSelf(self.withTarget(leaving), System.nanoTime());
        membership.ownRegistration().appendLeave();
        routingTablePublisher.publish();
        Promise<Void> completion = Promise.promise();
        exchanger.requestExtraRound();
        exchanger
                .exchangeWithContacts()
                .compose(first -> exchanger.exchangeWithContacts())
                .onComplete(done -> completeWhenLeaveAppended(completion));
        vertx.setTimer(LEAVE_TIMEOUT_MILLIS, id -> completion.tryComplete());
        return completion.future();
    }

    /** Returns the reports about requests that may crash targets. */
    CrashReports crashReports() {
        return crashReports;
    }

    JsonObject orderDataCentre(String dataCentre, JsonObject body) {
        OrderRequest request = OrderRequest.parse(dataCentre, body);
        if (configurationReader.holds(request.toOrder())) {
            throw OrderRequest.reservedId(request.orderId());
        }
        return ControlReport.toJson(
                membership.issueOrder(dataCentre, request.state(), request.orderId()));
    }

    Future<ControlFrame> handleFrame(ControlFrame frame) {
        try {
            return switch (frame.type()) {
                case ControlFrameTypes.GOSSIP ->
                        Future.succeededFuture(exchanger.answerGossip(frame));
                case ControlFrameTypes.CONFIGURATION_REQUEST ->
                        Future.succeededFuture(configurationManager.answer(frame));
                default -> exchanger.answerIndirectPing(frame);
            };
        } catch (DogwoodwoodException e) {
            events.write(LogEvent.FRAME_REFUSED, "type", frame.type(), "reason", e.getMessage());
            return Future.failedFuture(e);
        }
    }

    @Override
    public void onMessage(GossipMessage message) {
        crashEvidence.merge(message.crashReports(), System.nanoTime());
        configurationManager.onMessage(message, configurationReader.isReachable());
        // The strategy has merged the orders of the message.
        if (!orders.all().equals(loggedOrders)) {
            onOrdersChanged(OrderOrigin.PEER);
        }
        updateReadiness();
        leaveRecorder.onPeerMessage();
        leaveRecorder.checkKnown(membershipReader.isCaughtUp(), System.nanoTime());
        if (!message.crashReports().isEmpty()
                || routingTablePublisher.isOutdated(System.nanoTime())) {
            routingTablePublisher.schedule();
        }
    }

    @Override
    public void onRound() {
        long nowMillis = System.currentTimeMillis();
        membership.ownRegistration().announceIfDue(nowMillis);
        if (components.configurationSourceFactory().isPresent()) {
            sourceFollower.onRound(configurationReader);
        }
        roundCount++;
        if (roundCount % ROUNDS_PER_MAINTENANCE == 0) {
            configurationManager.renewIfDue(nowMillis);
            membership.maintain(nowMillis);
            strategy.removeCrashReports(System.nanoTime() - CRASH_REPORT_RETENTION_NANOS);
        }
        assumeLogStateAfterTimeout();
        updateReadiness();
        leaveRecorder.checkKnown(membershipReader.isCaughtUp(), System.nanoTime());
        routingTablePublisher.schedule();
    }

    private void onMemberChanged(Member member) {
        if (member.node().equals(settings.node()) && member.incarnation() > highestIncarnation) {
            highestIncarnation = member.incarnation();
            events.write(LogEvent.INCARNATION_RAISED, "incarnation", member.incarnation());
        }
        // The table reports this node's own entry while it is created, before the strategy exists.
        if (strategy == null) {
            return;
        }
        strategy.onMemberChanged(member);
        if (member.liveness() == Liveness.SUSPECT) {
            events.write(LogEvent.MEMBER_SUSPECT, "node", member.node());
        } else if (member.liveness() == Liveness.DEAD) {
            events.write(LogEvent.MEMBER_DEAD, "node", member.node());
        }
        routingTablePublisher.schedule();
    }

    private void onConfigurationChanged() {
        strategy.onConfiguration(
                configurationManager.configuration().version(), configurationManager.hash());
        exchanger.requestExtraRound();
        routingTablePublisher.schedule();
    }

    private boolean isHeldBySource(DataCentreOrder order) {
        return configurationReader.holds(order);
    }

    private void onOrdersChanged(OrderOrigin origin) {
        loggedOrders = orders.all();
        events.write(LogEvent.DATA_CENTRE_ORDER, "origin", origin, "orders", loggedOrders);
        exchanger.requestExtraRound();
        routingTablePublisher.schedule();
    }

    private void updateReadiness() {
        if (ready) {
            return;
        }
        boolean caughtUp =
                configurationReader.isCaughtUp()
                        && membershipReader.isCaughtUp()
                        && configurationManager.ledger().isLogStateKnown()
                        && (components.configurationSourceFactory().isEmpty()
                                || (configurationManager.configuration().version() > 0
                                        && !configurationManager.isFetching()
                                        && startCheck.isComplete(System.nanoTime())));
        // A node without a log and without seeds has no published configuration to wait for.
        boolean standalone =
                components.configurationSourceFactory().isEmpty()
                        && settings.logAddress().isEmpty()
                        && settings.seeds().isEmpty();
        if (caughtUp || standalone || configurationManager.isConfirmedByReadyPeer()) {
            ready = true;
            table.updateSelf(table.self().withReady(true), System.nanoTime());
            events.write(
                    LogEvent.NODE_READY, "version", configurationManager.configuration().version());
            exchanger.requestExtraRound();
            routingTablePublisher.schedule();
        }
    }

    private void assumeLogStateAfterTimeout() {
        boolean stateUnknown =
                configurationReader.isCaughtUp()
                        && !configurationManager.ledger().isLogStateKnown();
        long now = System.nanoTime();
        if (!stateUnknown) {
            logStateUnknownSinceNanos = -1;
        } else if (logStateUnknownSinceNanos < 0) {
            logStateUnknownSinceNanos = now;
        } else if (now - logStateUnknownSinceNanos
                > 2_000_000 * components.timings().rankDelayMillis()) {
            configurationManager.assumeFromFirstRetained();
        }
    }

    private void completeWhenLeaveAppended(Promise<Void> completion) {
        if (!membership.ownRegistration().isLeavePending()) {
            completion.tryComplete();
        } else if (!completion.future().isComplete()) {
            vertx.setTimer(
                    LEAVE_CHECK_INTERVAL_MILLIS, id -> completeWhenLeaveAppended(completion));
        }
    }

    /**
     * Returns this node's rank for a subject by rendezvous hashing over present members, from 0.
     */
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

    private Configuration usableConfiguration() {
        return ready ? configurationManager.configuration() : Configuration.empty();
    }
}
