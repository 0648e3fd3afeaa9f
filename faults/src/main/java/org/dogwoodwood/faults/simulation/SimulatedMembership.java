package org.dogwoodwood.faults.simulation;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.dogwoodwood.core.idempotency.KeyHandover;
import org.dogwoodwood.core.idempotency.MemberView;
import org.dogwoodwood.core.idempotency.MemberView.RegisteredMember;
import org.dogwoodwood.core.idempotency.MembershipRecord;
import org.dogwoodwood.core.idempotency.MembershipRecord.Kind;
import org.dogwoodwood.core.idempotency.RegisteredMembers;
import org.dogwoodwood.core.membership.DataCentreOrder;
import org.dogwoodwood.core.membership.Liveness;
import org.dogwoodwood.core.membership.Member;
import org.dogwoodwood.core.model.NodeId;

/** Reads and writes the membership stream, and hands over keys when the members change. */
final class SimulatedMembership {

    private static final long READ_INTERVAL_NANOS = 300 * EventLoop.MILLISECOND;
    private static final long RETRY_DELAY_NANOS = 500 * EventLoop.MILLISECOND;
    private static final long HANDOVER_INTERVAL_NANOS = 50 * EventLoop.MILLISECOND;
    private static final long RENEWAL_INTERVAL_NANOS =
            SimulatedCluster.RECORD_LIFETIME_MILLIS * EventLoop.MILLISECOND * 2 / 3;

    private final SimulatedNode node;
    private final SimulatedCluster cluster;
    private final EventLoop loop;
    private final SimulatedControl control;
    private final RegisteredMembers registeredMembers =
            RegisteredMembers.create(
                    SimulatedCluster.SERVICE, SimulatedCluster.RECORD_LIFETIME_MILLIS);
    private final Set<RegisteredMember> requestedRemovals = new HashSet<>();
    private final Set<RegisteredMember> handingOver = new HashSet<>();
    private long nextOffset;
    private long announcedAtNanos = Long.MIN_VALUE;
    private long appendCount;
    private boolean announcing;
    private boolean readToEnd;
    private boolean leavingConfirmed;
    private long viewCount;

    SimulatedMembership(SimulatedNode node, SimulatedCluster cluster, SimulatedControl control) {
        this.node = node;
        this.cluster = cluster;
        this.loop = cluster.loop();
        this.control = control;
    }

    void start() {
        read();
        maintainRegistrations();
        handOver();
    }

    boolean hasReadToEnd() {
        return readToEnd;
    }

    boolean isHandoverComplete() {
        return leavingConfirmed && control.ownership().handoverRecipients(loop.now()).isEmpty();
    }

    void appendLeaving() {
        append(new LogEntry.Leaving(node.id(), node.incarnation()), newId("leaving"));
    }

    void appendOrder(DataCentreOrder order) {
        append(new LogEntry.Order(order), "order/" + order.orderId());
    }

    private void read() {
        long requestedAtNanos = loop.now();
        cluster.log()
                .read(
                        PlatformLog.Stream.MEMBERSHIP,
                        nextOffset,
                        page -> node.execute(() -> onPage(page, requestedAtNanos)));
    }

    private void onPage(PlatformLog.Page page, long requestedAtNanos) {
        if (page != null && page.expired()) {
            nextOffset = page.firstOffset();
            registeredMembers.restartFrom(nextOffset);
            if (viewCount > 0) {
                control.ownership().onMissedRecords(loop.now());
            }
            read();
            return;
        }
        if (page != null) {
            page.records().forEach(this::apply);
            control.ownership().onLogEnd(requestedAtNanos);
            readToEnd = true;
            control.checkReady();
        }
        node.schedule(READ_INTERVAL_NANOS, this::read);
    }

    private void apply(PlatformLog.StoredRecord stored) {
        nextOffset = stored.offset() + 1;
        LogEntry entry = stored.entry();
        if (entry instanceof LogEntry.Announcement announcement) {
            Member member = announcement.member();
            applyToMembers(stored, Kind.ANNOUNCED, member.node(), member.incarnation());
            control.table().merge(member, loop.now());
        } else if (entry instanceof LogEntry.Leaving leaving) {
            applyToMembers(stored, Kind.LEFT, leaving.node(), leaving.incarnation());
            leavingConfirmed |=
                    leaving.node().equals(node.id()) && leaving.incarnation() == node.incarnation();
        } else if (entry instanceof LogEntry.Removal removal) {
            applyToMembers(stored, Kind.REMOVED, removal.node(), removal.incarnation());
        } else if (entry instanceof LogEntry.Order order) {
            applyToMembers(stored, Kind.OTHER, node.id(), 0);
            if (control.orders().merge(order.order())) {
                control.gossip().onOrderChanged(order.order().dataCentre());
            }
        }
    }

    private void applyToMembers(
            PlatformLog.StoredRecord stored, Kind kind, NodeId subject, long incarnation) {
        MembershipRecord record =
                new MembershipRecord(
                        stored.offset(),
                        stored.timestampMillis(),
                        kind,
                        subject,
                        incarnation,
                        SimulatedCluster.SERVICE);
        registeredMembers
                .accept(record)
                .ifPresent(
                        view -> {
                            viewCount++;
                            control.ownership().onView(view, loop.now());
                        });
    }

    /**
     * Renews the announcement of this node when due, withdraws it while the target accepts no work,
     * and removes dead members.
     */
    private void maintainRegistrations() {
        MemberView view = control.ownership().currentView().orElse(null);
        boolean isRegistered = view != null && view.contains(node.identity());
        boolean due =
                announcedAtNanos == Long.MIN_VALUE
                        || loop.now() - announcedAtNanos > RENEWAL_INTERVAL_NANOS
                        || (!isRegistered && loop.now() - announcedAtNanos > EventLoop.SECOND);
        boolean acceptsWork = control.acceptsWork();
        if (due && acceptsWork && !announcing && !node.isLeaving()) {
            announce();
        }
        if (isRegistered && !acceptsWork && requestedRemovals.add(node.identity())) {
            // The process keeps running, but its keys must move to members that accept work.
            append(
                    new LogEntry.Removal(node.id(), node.incarnation()),
                    newId("out"),
                    () -> requestedRemovals.remove(node.identity()));
        }
        if (view != null) {
            view.incarnations().keySet().stream()
                    .filter(id -> !id.equals(node.id()))
                    .forEach(id -> removeIfDead(id, view.incarnations().get(id)));
        }
        node.schedule(RETRY_DELAY_NANOS, this::maintainRegistrations);
    }

    private void announce() {
        announcing = true;
        String id = newId("announcement");
        cluster.reportStep(StepContext.ofNode(Step.ANNOUNCING, node.id()));
        appendUntilConfirmed(
                () -> new LogEntry.Announcement(control.table().self()),
                id,
                () -> {
                    announcing = false;
                    announcedAtNanos = loop.now();
                });
    }

    private void removeIfDead(NodeId id, long incarnation) {
        RegisteredMember member = new RegisteredMember(id, incarnation);
        boolean dead =
                control.table()
                        .find(id)
                        .filter(
                                entry ->
                                        entry.incarnation() == incarnation
                                                && entry.liveness() == Liveness.DEAD)
                        .isPresent();
        if (dead && control.isResponsibleFor("removal") && requestedRemovals.add(member)) {
            append(new LogEntry.Removal(id, incarnation), newId("removal"));
        }
        if (!dead) {
            requestedRemovals.remove(member);
        }
    }

    private void append(LogEntry entry, String id) {
        append(entry, id, () -> {});
    }

    private void append(LogEntry entry, String id, Runnable onDone) {
        appendUntilConfirmed(() -> entry, id, onDone);
    }

    private void appendUntilConfirmed(
            java.util.function.Supplier<LogEntry> entry, String id, Runnable onDone) {
        cluster.log()
                .append(
                        PlatformLog.Stream.MEMBERSHIP,
                        id,
                        entry.get(),
                        confirmed ->
                                node.execute(
                                        () -> {
                                            if (confirmed) {
                                                onDone.run();
                                            } else {
                                                node.schedule(
                                                        RETRY_DELAY_NANOS,
                                                        () ->
                                                                appendUntilConfirmed(
                                                                        entry, id, onDone));
                                            }
                                        }));
    }

    private void handOver() {
        for (RegisteredMember recipient : control.ownership().handoverRecipients(loop.now())) {
            if (handingOver.add(recipient)) {
                sendHandover(
                        recipient,
                        new ArrayDeque<>(control.keys().prepareHandover(recipient, loop.now())));
            }
        }
        for (KeyHandover update : control.keys().drainUpdates()) {
            node.call(
                    update.recipient().node(),
                    other -> other.control().keys().receive(update, loop.now()),
                    accepted -> {},
                    () -> {});
        }
        node.schedule(HANDOVER_INTERVAL_NANOS, this::handOver);
    }

    private void sendHandover(RegisteredMember recipient, Deque<KeyHandover> frames) {
        KeyHandover frame = frames.remove();
        node.call(
                recipient.node(),
                other -> other.control().keys().receive(frame, loop.now()),
                accepted -> {
                    if (accepted && !frames.isEmpty()) {
                        sendHandover(recipient, frames);
                        return;
                    }
                    handingOver.remove(recipient);
                    if (accepted) {
                        control.ownership().onHandoverAccepted(recipient, frame.viewOffset());
                    }
                },
                () -> handingOver.remove(recipient));
    }

    private String newId(String kind) {
        appendCount++;
        return String.join(
                "/",
                List.of(
                        kind,
                        node.id().value(),
                        Long.toString(node.incarnation()),
                        Long.toString(appendCount)));
    }
}
