package org.dogwoodwood.node.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;
import java.util.random.RandomGenerator;
import org.dogwoodwood.codec.log.AnnouncementRecord;
import org.dogwoodwood.codec.log.DataCentreOrderRecord;
import org.dogwoodwood.codec.log.ExpiryRecord;
import org.dogwoodwood.codec.log.LeaveRecord;
import org.dogwoodwood.codec.log.LogStreams;
import org.dogwoodwood.codec.log.TargetLeavesRecord;
import org.dogwoodwood.core.membership.DataCentreOrder;
import org.dogwoodwood.core.membership.DataCentreOrders;
import org.dogwoodwood.core.membership.GossipStrategy;
import org.dogwoodwood.core.membership.Liveness;
import org.dogwoodwood.core.membership.Member;
import org.dogwoodwood.core.membership.MemberTarget;
import org.dogwoodwood.core.membership.MembershipTable;
import org.dogwoodwood.core.membership.NodeAddress;
import org.dogwoodwood.core.membership.RegistrationList;
import org.dogwoodwood.core.model.NodeId;
import org.dogwoodwood.core.model.TargetState;

/**
 * Applies the records of the stream {@code membership}, and appends data centre orders and removals
 * of dead members to it; used on the control thread.
 */
final class MembershipManager implements LogReader.EntryListener {

    private static final String EXPIRY_KEY = "expiry";
    private static final String ORDER_KEY = "order/";

    private final ControlSettings settings;
    private final MembershipTable table;
    private final DataCentreOrders orders;
    private final GossipStrategy strategy;
    private final LogAppender appender;
    private final ToIntFunction<String> rankOf;
    private final Predicate<DataCentreOrder> heldBySource;
    private final Consumer<OrderOrigin> orderListener;
    private final Consumer<TargetLeavesRecord> leavesListener;
    private final RegistrationList registrations = RegistrationList.create();
    private final OwnRegistration ownRegistration;
    private final Map<String, RecordedOrder> recordedOrders = new HashMap<>();
    private final Map<NodeId, Long> deadSinceMillis = new HashMap<>();
    private final List<Consumer<LogEntry>> entryListeners = new ArrayList<>();
    private final List<LongConsumer> endListeners = new ArrayList<>();
    private final List<LongConsumer> expiryListeners = new ArrayList<>();
    private long sequence;

    /**
     * Creates a manager without records.
     *
     * @param rankOf returns this node's rank among present nodes for a subject, from 0
     * @param heldBySource whether the operators' source holds an order, so that the log does not
     * @param orderListener receives the origin of orders that have come into force
     * @param leavesListener receives the leaves of targets
     */
    MembershipManager(
            ControlSettings settings,
            MembershipTable table,
            DataCentreOrders orders,
            GossipStrategy strategy,
            LogAppender appender,
            ToIntFunction<String> rankOf,
            Predicate<DataCentreOrder> heldBySource,
            Consumer<OrderOrigin> orderListener,
            Consumer<TargetLeavesRecord> leavesListener,
            RandomGenerator random,
            boolean keyedCalls) {
        this.settings = settings;
        this.table = table;
        this.orders = orders;
        this.strategy = strategy;
        this.appender = appender;
        this.rankOf = rankOf;
        this.heldBySource = heldBySource;
        this.orderListener = orderListener;
        this.leavesListener = leavesListener;
        this.ownRegistration =
                new OwnRegistration(
                        settings, table, orders, registrations, appender, random, keyedCalls);
    }

    /** Returns this node's registration. */
    OwnRegistration ownRegistration() {
        return ownRegistration;
    }

    /** Returns the registered members. */
    RegistrationList registrations() {
        return registrations;
    }

    /** Adds a listener that receives the records of the stream, in log order. */
    void addEntryListener(Consumer<LogEntry> listener) {
        entryListeners.add(listener);
    }

    /**
     * Adds a listener that receives the sending time of reads that reached the end of the stream.
     */
    void addEndListener(LongConsumer listener) {
        endListeners.add(listener);
    }

    /** Adds a listener that receives the first retained offset when unread records have expired. */
    void addExpiryListener(LongConsumer listener) {
        expiryListeners.add(listener);
    }

    @Override
    public void onEndReached(long sentNanos) {
        endListeners.forEach(listener -> listener.accept(sentNanos));
    }

    @Override
    public void onEntry(LogEntry entry) {
        if (entry.content() instanceof AnnouncementRecord announcement) {
            onAnnouncement(entry, announcement);
        } else if (entry.content() instanceof LeaveRecord leave) {
            onRemoval(entry.offset(), NodeId.of(leave.node()), leave.incarnation(), true);
        } else if (entry.content() instanceof ExpiryRecord expiry) {
            onRemoval(entry.offset(), NodeId.of(expiry.node()), expiry.incarnation(), false);
        } else if (entry.content() instanceof DataCentreOrderRecord order) {
            registrations.onOtherRecord(entry.offset());
            onOrderRecord(order.toOrder(), entry.timestampMillis());
        } else {
            registrations.onOtherRecord(entry.offset());
            if (entry.content() instanceof TargetLeavesRecord leaves) {
                leavesListener.accept(leaves);
            }
        }
        entryListeners.forEach(listener -> listener.accept(entry));
    }

    @Override
    public void onIgnored(long offset) {
        registrations.onOtherRecord(offset);
    }

    @Override
    public void onExpired(long firstOffset) {
        registrations.onRecordsExpired(firstOffset);
        expiryListeners.forEach(listener -> listener.accept(firstOffset));
    }

    /** Issues an operator's order, disseminates it by gossip and appends it to the log. */
    DataCentreOrder issueOrder(String dataCentre, DataCentreOrder.State state, String orderId) {
        DataCentreOrder order = orders.issue(dataCentre, state, orderId);
        strategy.onOrderChanged(dataCentre);
        orderListener.accept(OrderOrigin.ADMIN_PORT);
        appendOrder(order);
        return order;
    }

    /** Writes again what this node wrote, since the log may have lost it. */
    void onLogRestored() {
        recordedOrders.clear();
        ownRegistration.onLogRestored();
    }

    /** Renews orders near the retention limit and removes members past the expiry time. */
    void maintain(long nowMillis) {
        orders.all().stream()
                .filter(heldBySource.negate())
                .forEach(order -> renewOrderIfDue(order, nowMillis));
        updateDeadMembers(nowMillis);
        if (!appender.isPending(EXPIRY_KEY)) {
            deadSinceMillis.entrySet().stream()
                    .filter(dead -> isExpiryDue(dead.getKey(), nowMillis - dead.getValue()))
                    .findFirst()
                    .flatMap(dead -> registrations.find(dead.getKey()))
                    .ifPresent(this::appendExpiry);
        }
    }

    private void onAnnouncement(LogEntry entry, AnnouncementRecord announcement) {
        NodeId node = NodeId.of(announcement.node());
        registrations.onAnnouncement(
                entry.offset(), node, announcement.incarnation(), announcement.service());
        boolean isOwn =
                node.equals(settings.node())
                        && announcement.incarnation() == table.self().incarnation();
        if (isOwn) {
            ownRegistration.onAnnouncementRead(entry.timestampMillis());
            return;
        }
        // Version 0, so that anything the member itself has gossiped takes precedence.
        Member member =
                new Member(
                        node,
                        announcement.incarnation(),
                        0,
                        Liveness.ALIVE,
                        true,
                        false,
                        new NodeAddress(
                                announcement.dataCentre(),
                                announcement.host(),
                                announcement.peerPort(),
                                announcement.httpPort()),
                        new MemberTarget(
                                announcement.service(),
                                announcement.slots(),
                                announcement.connections(),
                                TargetState.COLD));
        table.merge(member, System.nanoTime());
    }

    private void onRemoval(long offset, NodeId node, long incarnation, boolean isLeave) {
        registrations.onRemoval(offset, node, incarnation);
        Optional<Member> known = table.find(node);
        if (isLeave
                && !node.equals(settings.node())
                && known.isPresent()
                && known.get().incarnation() == incarnation
                && known.get().isPresent()) {
            Member leaving = known.get();
            table.merge(
                    leaving.withTarget(leaving.target().withState(TargetState.LEAVING)),
                    System.nanoTime());
        }
    }

    private void onOrderRecord(DataCentreOrder order, long timestampMillis) {
        if (heldBySource.test(order)) {
            return;
        }
        recordedOrders.put(order.dataCentre(), new RecordedOrder(order, timestampMillis));
        if (orders.merge(order)) {
            strategy.onOrderChanged(order.dataCentre());
            orderListener.accept(OrderOrigin.LOG);
        }
        boolean confirmed = orders.all().contains(order);
        if (confirmed) {
            appender.cancel(ORDER_KEY + order.dataCentre());
        }
    }

    private void appendOrder(DataCentreOrder order) {
        appender.append(
                ORDER_KEY + order.dataCentre(),
                LogStreams.MEMBERSHIP,
                publicationId("order"),
                DataCentreOrderRecord.of(order),
                true);
    }

    private void renewOrderIfDue(DataCentreOrder order, long nowMillis) {
        if (appender.isPending(ORDER_KEY + order.dataCentre())) {
            return;
        }
        RecordedOrder recorded = recordedOrders.get(order.dataCentre());
        if (recorded == null || !recorded.order.equals(order)) {
            // The node that received the order appends it first; the others only if it does not.
            recorded =
                    new RecordedOrder(order, nowMillis - settings.timings().retentionMillis() / 2);
            recordedOrders.put(order.dataCentre(), recorded);
        }
        long rank = 1L + rankOf.applyAsInt(order.dataCentre());
        long due =
                settings.timings().retentionMillis() / 2
                        + rank * settings.timings().rankDelayMillis();
        if (nowMillis - recorded.timestampMillis >= due) {
            appendOrder(order);
        }
    }

    private void updateDeadMembers(long nowMillis) {
        deadSinceMillis
                .keySet()
                .removeIf(
                        node ->
                                table.find(node)
                                        .filter(member -> member.liveness() == Liveness.DEAD)
                                        .isEmpty());
        for (Member member : table.members()) {
            if (member.liveness() == Liveness.DEAD) {
                deadSinceMillis.putIfAbsent(member.node(), nowMillis);
            }
        }
    }

    private boolean isExpiryDue(NodeId node, long deadMillis) {
        long expireAfter = settings.timings().expireAfterMillis();
        return deadMillis >= expireAfter
                && registrations.find(node).isPresent()
                && deadMillis
                        >= expireAfter
                                + settings.timings().rankDelayMillis()
                                        * rankOf.applyAsInt(node.value());
    }

    private void appendExpiry(RegistrationList.Registration dead) {
        ExpiryRecord expiry =
                new ExpiryRecord(dead.node().value(), dead.incarnation(), settings.node().value());
        appender.append(EXPIRY_KEY, LogStreams.MEMBERSHIP, publicationId("expiry"), expiry, false);
    }

    private String publicationId(String kind) {
        sequence++;
        return kind + "-" + settings.node() + "-" + settings.incarnation() + "-" + sequence;
    }

    private record RecordedOrder(DataCentreOrder order, long timestampMillis) {}
}
