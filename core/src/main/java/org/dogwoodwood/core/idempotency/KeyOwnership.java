package org.dogwoodwood.core.idempotency;

import static org.dogwoodwood.core.Preconditions.checkArgument;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.core.idempotency.MemberView.RegisteredMember;
import org.dogwoodwood.core.model.NodeId;

/**
 * Determines whether this node may run calls with a key. Not thread-safe.
 *
 * <p>The owner of a key is the member that ranks first by rendezvous hashing over the members
 * registered in the platform log. A node may act as owner only under a lease, which it renews by
 * reading the log to its end or by confirmations of a majority of the members that they have not
 * read further. A new owner waits until the former owner has handed over, or until the key window
 * has passed since the former owner can last have held its lease. See {@code docs/at-most-once.md}.
 */
public final class KeyOwnership {

    /** The default time for which a confirmation is valid, in nanoseconds. */
    public static final long DEFAULT_LEASE_NANOS = 5_000_000_000L;

    private static final long NEVER = Long.MIN_VALUE;

    private final String service;
    private final RegisteredMember self;
    private final long leaseNanos;
    private long windowNanos;

    private MemberView current;
    private final List<FormerView> former = new ArrayList<>();
    private final Set<RegisteredMember> ended = new HashSet<>();
    private final Map<RegisteredMember, Long> offsetsRead = new HashMap<>();
    private final Map<RegisteredMember, Long> confirmedAt = new HashMap<>();
    private final ReceivedHandovers handovers = new ReceivedHandovers();
    private final Map<NodeId, RegisteredMember> handoverRecipients = new TreeMap<>();
    private long logConfirmedAt = NEVER;
    private long newestReportedOffset = -1;
    private long inDoubtUntil = NEVER;
    private boolean leaving;

    private KeyOwnership(String service, RegisteredMember self, long windowNanos, long leaseNanos) {
        this.service = Objects.requireNonNull(service, "service");
        this.self = Objects.requireNonNull(self, "self");
        checkArgument(leaseNanos > 0, "The ownership lease must be positive.");
        this.leaseNanos = leaseNanos;
        setWindow(windowNanos);
    }

    /**
     * Creates the ownership of a node that has not read the log yet.
     *
     * @param service the service of the target beside this node, not null
     * @param self this process as registered in the log, not null
     * @param windowNanos the key window, for which a key is retained, in nanoseconds
     * @param leaseNanos how long a confirmation is valid, in nanoseconds; shorter than the window
     */
    public static KeyOwnership create(
            String service, RegisteredMember self, long windowNanos, long leaseNanos) {
        return new KeyOwnership(service, self, windowNanos, leaseNanos);
    }

    /** Sets the key window, in nanoseconds; it must be longer than the lease. */
    public void setWindow(long nanos) {
        checkArgument(
                nanos > leaseNanos, "The key window must be longer than the ownership lease.");
        windowNanos = nanos;
    }

    /**
     * Applies the members after the next log record that changes them. The caller must pass every
     * such view, in log order.
     *
     * @param view the members, not null
     * @param nowNanos the current time on the monotonic clock, in nanoseconds
     */
    public void onView(MemberView view, long nowNanos) {
        if (current != null && view.offset() <= current.offset()) {
            return;
        }
        ended.addAll(view.ended());
        if (current != null) {
            former.add(0, new FormerView(current, view.offset(), nowNanos));
        }
        updateRecipients(view);
        current = view;
        newestReportedOffset = Math.max(newestReportedOffset, view.offset());
        offsetsRead.put(self, view.offset());
        removeDepartedMembers();
        update(nowNanos);
    }

    /**
     * Records that the log no longer retains records that this node has not read, so that it does
     * not know the former owners. The node runs no call with a key for the key window and two
     * leases.
     *
     * @param nowNanos the current time in nanoseconds
     */
    public void onMissedRecords(long nowNanos) {
        current = null;
        former.clear();
        confirmedAt.clear();
        handovers.clear();
        handoverRecipients.clear();
        logConfirmedAt = NEVER;
        inDoubtUntil = nowNanos + takeoverWaitNanos();
    }

    /**
     * Records that the log was read to its end.
     *
     * @param requestSentNanos when the request was sent whose response contained no further record,
     *     in nanoseconds
     */
    public void onLogEnd(long requestSentNanos) {
        logConfirmedAt = Math.max(logConfirmedAt, requestSentNanos);
    }

    /**
     * Records the offset that another member of the service has read.
     *
     * @param member the process that answered, not null
     * @param viewOffset the offset of its member view, from its {@link #offsetToReport}
     * @param requestSentNanos when the answered request was sent, in nanoseconds
     * @param nowNanos the current time in nanoseconds
     */
    public void onPeerOffset(
            RegisteredMember member, long viewOffset, long requestSentNanos, long nowNanos) {
        offsetsRead.merge(member, viewOffset, Math::max);
        newestReportedOffset = Math.max(newestReportedOffset, viewOffset);
        if (current != null && viewOffset <= current.offset()) {
            confirmedAt.merge(member, requestSentNanos, Math::max);
        }
        update(nowNanos);
    }

    /**
     * Records that another member has handed over all its entries of keys now owned by this node.
     *
     * @param member the process that sent the handover, not null
     * @param viewOffset the offset of the sender's member view
     * @param unsettled the result of {@link #unsettled} at the sender, not null
     * @param nowNanos the current time in nanoseconds
     */
    public void onHandover(
            RegisteredMember member,
            long viewOffset,
            Set<RegisteredMember> unsettled,
            long nowNanos) {
        handovers.add(member, viewOffset, unsettled);
        newestReportedOffset = Math.max(newestReportedOffset, viewOffset);
        update(nowNanos);
    }

    /**
     * Stops this node from acting as an owner and from confirming other members. It must be called
     * before the record of its leaving is appended to the log.
     */
    public void leave() {
        leaving = true;
    }

    /**
     * Returns the offset to report to other members, or empty if this node confirms no member
     * because it is leaving or has not read a view.
     */
    public OptionalLong offsetToReport() {
        return leaving || current == null
                ? OptionalLong.empty()
                : OptionalLong.of(current.offset());
    }

    /** Returns the current view, or empty before the first one was read. */
    public Optional<MemberView> currentView() {
        return Optional.ofNullable(current);
    }

    /**
     * Returns the error code with which to refuse a call with the key, or empty if it may start.
     *
     * @param key the key, not null
     * @param nowNanos the current time in nanoseconds
     */
    public Optional<ErrorCode> refusalFor(String key, long nowNanos) {
        if (leaving || !isOwner(key) || !isConfirmed(nowNanos)) {
            return Optional.of(ErrorCode.KEY_NOT_OWNED);
        }
        if (inDoubtUntil != NEVER && nowNanos - inDoubtUntil < 0) {
            return Optional.of(ErrorCode.KEY_IN_DOUBT);
        }
        return isTakeoverComplete(key, nowNanos)
                ? Optional.empty()
                : Optional.of(ErrorCode.KEY_IN_DOUBT);
    }

    /**
     * Checks the former owners of a key from the newest to the oldest. An owner that has handed
     * over covers all owners before it, except those that it listed as unsettled.
     */
    private boolean isTakeoverComplete(String key, long nowNanos) {
        Optional<Set<RegisteredMember>> unsettledOwners = Optional.empty();
        for (FormerView view : former) {
            Optional<RegisteredMember> owner = view.view().ownerOf(service, key);
            boolean covered =
                    owner.isEmpty()
                            || unsettledOwners
                                    .filter(set -> !set.contains(owner.get()))
                                    .isPresent();
            if (covered) {
                continue;
            }
            unsettledOwners = Optional.empty();
            if (owner.get().equals(self)) {
                continue;
            }
            unsettledOwners = unsettledAtHandover(key, owner.get(), view);
            if (unsettledOwners.isEmpty()
                    && !view.hasWindowPassed(owner.get(), ended, takeoverWaitNanos(), nowNanos)) {
                return false;
            }
        }
        return true;
    }

    /**
     * Returns the unsettled processes of the newest handover that covers a key, or empty if no
     * handover does.
     */
    private Optional<Set<RegisteredMember>> unsettledAtHandover(
            String key, RegisteredMember sender, FormerView view) {
        for (Map.Entry<Long, Set<RegisteredMember>> handover :
                handovers.handoversSince(sender, view.replacementOffset()).entrySet()) {
            // The sender handed the entry to the owner of the key according to the sender's view.
            boolean coversKey =
                    FormerView.viewAt(handover.getKey(), current, former)
                            .flatMap(at -> at.ownerOf(service, key))
                            .filter(self::equals)
                            .isPresent();
            if (coversKey) {
                return Optional.of(handover.getValue());
            }
        }
        return Optional.empty();
    }

    /**
     * Returns whether this node owns the key according to its current view, regardless of the
     * lease.
     */
    public boolean isOwner(String key) {
        return current != null && current.ownerOf(service, key).filter(self::equals).isPresent();
    }

    /** Returns whether this node holds its lease, so that no newer view can have taken effect. */
    public boolean isConfirmed(long nowNanos) {
        if (current == null || newestReportedOffset > current.offset()) {
            return false;
        }
        return isWithinLease(logConfirmedAt, nowNanos) || isConfirmedByMajority(nowNanos);
    }

    /** Returns the time that a takeover without handover must wait, in nanoseconds. */
    public long takeoverWaitNanos() {
        // The second lease allows for clocks that run at slightly different rates.
        return windowNanos + 2 * leaseNanos;
    }

    /**
     * Returns the members to which this node must still send a handover. The list is empty while
     * this node is in doubt after missed records, since its entries may be incomplete.
     */
    public List<RegisteredMember> handoverRecipients(long nowNanos) {
        update(nowNanos);
        boolean inDoubt = inDoubtUntil != NEVER && nowNanos - inDoubtUntil < 0;
        return inDoubt ? List.of() : List.copyOf(handoverRecipients.values());
    }

    /** Returns the processes that may have run calls with a key unknown to this node. */
    public Set<RegisteredMember> unsettled(long nowNanos) {
        update(nowNanos);
        return UnsettledProcesses.find(
                self,
                current,
                former,
                handovers,
                (view, member) ->
                        view.hasWindowPassed(member, ended, takeoverWaitNanos(), nowNanos));
    }

    /**
     * Records that a member has accepted a complete handover. A handover under a view other than
     * the current one has no effect.
     */
    public void onHandoverAccepted(RegisteredMember member, long viewOffset) {
        if (current != null && current.offset() == viewOffset) {
            handoverRecipients.remove(member.node(), member);
        }
    }

    /** Returns the view offset of the newest handover of a member, or -1 if there is none. */
    long lastHandoverOffset(RegisteredMember member) {
        return handovers.newestOffset(member);
    }

    /** Returns the owner of a key according to the current view, or empty if there is none. */
    Optional<RegisteredMember> ownerOf(String key) {
        return currentView().flatMap(view -> view.ownerOf(service, key));
    }

    /** Returns this process as registered in the log. */
    RegisteredMember self() {
        return self;
    }

    /** Returns the key window, in nanoseconds. */
    long windowNanos() {
        return windowNanos;
    }

    private void updateRecipients(MemberView next) {
        boolean leaves = !next.contains(self);
        boolean wasMember = current != null && current.contains(self);
        boolean handsOver = !handoverRecipients.isEmpty();
        handoverRecipients.values().removeIf(member -> !next.contains(member));
        if (!wasMember && !handsOver) {
            return;
        }
        next.incarnations()
                .forEach(
                        (node, incarnation) -> {
                            RegisteredMember member = new RegisteredMember(node, incarnation);
                            if (!member.equals(self) && (leaves || !current.contains(member))) {
                                handoverRecipients.put(node, member);
                            }
                        });
    }

    private void update(long nowNanos) {
        former.forEach(view -> view.updateMajority(offsetsRead, ended, nowNanos));
        // Removes only from the oldest on: a newer view whose window has passed is still needed to
        // detect members that were lost without a handover.
        while (!former.isEmpty()
                && hasWindowPassedForAll(former.get(former.size() - 1), nowNanos)) {
            former.remove(former.size() - 1);
        }
    }

    private boolean hasWindowPassedForAll(FormerView view, long nowNanos) {
        return view.view()
                .members()
                .allMatch(
                        member ->
                                member.equals(self)
                                        || view.hasWindowPassed(
                                                member, ended, takeoverWaitNanos(), nowNanos));
    }

    private boolean isConfirmedByMajority(long nowNanos) {
        if (!current.hasEnoughVoters()) {
            return false;
        }
        long confirmations =
                current.members()
                        .filter(
                                member ->
                                        member.equals(self)
                                                || isWithinLease(
                                                        confirmedAt.getOrDefault(member, NEVER),
                                                        nowNanos))
                        .count();
        return confirmations >= current.majority();
    }

    private boolean isWithinLease(long confirmed, long nowNanos) {
        return confirmed != NEVER && nowNanos - confirmed < leaseNanos;
    }

    private void removeDepartedMembers() {
        confirmedAt.keySet().removeIf(member -> !current.contains(member));
        Set<RegisteredMember> known = new HashSet<>();
        current.members().forEach(known::add);
        former.forEach(view -> view.view().members().forEach(known::add));
        known.add(self);
        offsetsRead.keySet().retainAll(known);
        long oldest =
                former.isEmpty() ? current.offset() : former.get(former.size() - 1).view().offset();
        handovers.retain(known, oldest);
        ended.retainAll(known);
    }
}
