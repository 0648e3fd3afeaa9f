package org.dogwoodwood.core.idempotency;

import static org.dogwoodwood.core.Preconditions.checkArgument;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.core.idempotency.MemberView.RegisteredMember;
import org.dogwoodwood.core.model.NodeId;

/**
 * Tells whether this node may run calls with a key; used by one thread.
 *
 * <p>The owner of a key ranks first by rendezvous hashing over the members that the platform log
 * holds. A node may act as owner only under a lease, which it renews by reading the log to its end
 * or by hearing from a majority of the members that none has read further. A new owner waits until
 * the former one has handed over, or until the key window has passed since the former one can no
 * longer have held its lease. See {@code docs/at-most-once.md}.
 */
public final class KeyOwnership {

    /** How long a confirmation lasts by default, in nanoseconds. */
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
    private final Map<NodeId, RegisteredMember> recipients = new TreeMap<>();
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
     * Creates the ownership of a node that has read nothing yet.
     *
     * @param service the service of the target beside this node, not null
     * @param self this process as the log registers it, not null
     * @param windowNanos how long a key is remembered, in nanoseconds
     * @param leaseNanos how long a confirmation lasts, in nanoseconds; shorter than the window
     */
    public static KeyOwnership create(
            String service, RegisteredMember self, long windowNanos, long leaseNanos) {
        return new KeyOwnership(service, self, windowNanos, leaseNanos);
    }

    /** Changes the key window, in nanoseconds; it must be longer than the lease. */
    public void setWindow(long nanos) {
        checkArgument(
                nanos > leaseNanos, "The key window must be longer than the ownership lease.");
        windowNanos = nanos;
    }

    /**
     * Takes in the members after the next record of the log that changes them; every such record
     * must be passed, in log order.
     *
     * @param view the members, not null
     * @param nowNanos the present time on the monotonic clock, in nanoseconds
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
     * Notes that the log no longer holds records that this node has not read, so that it does not
     * know the former owners. It runs no call with a key for the window.
     *
     * @param nowNanos the present time in nanoseconds
     */
    public void onMissedRecords(long nowNanos) {
        current = null;
        former.clear();
        confirmedAt.clear();
        handovers.clear();
        recipients.clear();
        logConfirmedAt = NEVER;
        inDoubtUntil = nowNanos + takeoverWaitNanos();
    }

    /**
     * Notes that the log was read to its end.
     *
     * @param askedNanos when the request was sent whose response showed no further record
     */
    public void onLogEnd(long askedNanos) {
        logConfirmedAt = Math.max(logConfirmedAt, askedNanos);
    }

    /**
     * Takes in how far another member of the service has read.
     *
     * @param member the process that answered, not null
     * @param viewOffset the offset of its member view, from its {@link #offsetToTell}
     * @param askedNanos when the request was sent that it answered, in nanoseconds
     * @param nowNanos the present time in nanoseconds
     */
    public void onPeerOffset(
            RegisteredMember member, long viewOffset, long askedNanos, long nowNanos) {
        offsetsRead.merge(member, viewOffset, Math::max);
        newestReportedOffset = Math.max(newestReportedOffset, viewOffset);
        if (current != null && viewOffset <= current.offset()) {
            confirmedAt.merge(member, askedNanos, Math::max);
        }
        update(nowNanos);
    }

    /**
     * Notes that another member has handed over all that it knew of keys now owned by this node.
     *
     * @param member the process that sent the handover, not null
     * @param viewOffset the offset of the member view under which it did so
     * @param unsettled the processes from {@link #unsettled} of the sender, not null
     * @param nowNanos the present time in nanoseconds
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
     * Stops this node from acting as an owner and from confirming others; called before its leaving
     * is appended to the log.
     */
    public void leave() {
        leaving = true;
    }

    /**
     * Returns the offset to tell other members, or empty if this node confirms nobody because it is
     * leaving or has read nothing.
     */
    public OptionalLong offsetToTell() {
        return leaving || current == null
                ? OptionalLong.empty()
                : OptionalLong.of(current.offset());
    }

    /** Returns the present view, or empty before the first one was read. */
    public Optional<MemberView> currentView() {
        return Optional.ofNullable(current);
    }

    /**
     * Returns why a call with the key must not start here now, or empty if it may.
     *
     * @param key the key, not null
     * @param nowNanos the present time in nanoseconds
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
     * Walks back through the former owners of a key. One that has handed over vouches for all
     * owners before it, up to one whose runs it did not know itself.
     */
    private boolean isTakeoverComplete(String key, long nowNanos) {
        Optional<Set<RegisteredMember>> notVouchedFor = Optional.empty();
        for (FormerView view : former) {
            Optional<RegisteredMember> owner = view.view().ownerOf(service, key);
            boolean vouchedFor =
                    owner.isEmpty()
                            || notVouchedFor.filter(set -> !set.contains(owner.get())).isPresent();
            if (vouchedFor) {
                continue;
            }
            notVouchedFor = Optional.empty();
            if (owner.get().equals(self)) {
                continue;
            }
            notVouchedFor = unsettledAtHandover(key, owner.get(), view);
            if (notVouchedFor.isEmpty()
                    && !view.hasWindowPassed(owner.get(), ended, takeoverWaitNanos(), nowNanos)) {
                return false;
            }
        }
        return true;
    }

    /** Returns the exceptions of the handover that covers a key, or empty if there is none. */
    private Optional<Set<RegisteredMember>> unsettledAtHandover(
            String key, RegisteredMember sender, FormerView view) {
        for (Map.Entry<Long, Set<RegisteredMember>> handover :
                handovers.handoversSince(sender, view.replacementOffset()).entrySet()) {
            // The sender gave the entry to whoever owned the key by its view.
            boolean toSelf =
                    viewAt(handover.getKey())
                            .flatMap(at -> at.ownerOf(service, key))
                            .filter(self::equals)
                            .isPresent();
            if (toSelf) {
                return Optional.of(handover.getValue());
            }
        }
        return Optional.empty();
    }

    private Optional<MemberView> viewAt(long offset) {
        if (current.offset() <= offset) {
            return Optional.of(current);
        }
        return former.stream()
                .map(FormerView::view)
                .filter(view -> view.offset() <= offset)
                .findFirst();
    }

    /** Returns whether this node owns the key by the view that it has read, lease or not. */
    public boolean isOwner(String key) {
        return current != null && current.ownerOf(service, key).filter(self::equals).isPresent();
    }

    /** Returns whether this node is certain that no newer view has had time to take effect. */
    public boolean isConfirmed(long nowNanos) {
        if (current == null || newestReportedOffset > current.offset()) {
            return false;
        }
        return isWithinLease(logConfirmedAt, nowNanos) || isConfirmedByMajority(nowNanos);
    }

    /** Returns how long a takeover without handover waits, in nanoseconds. */
    public long takeoverWaitNanos() {
        // The second lease covers clocks that run at slightly different rates.
        return windowNanos + 2 * leaseNanos;
    }

    /**
     * Returns the members that must still be sent a handover, or none while this node has missed
     * records and cannot vouch for anything.
     */
    public List<RegisteredMember> recipients(long nowNanos) {
        update(nowNanos);
        boolean inDoubt = inDoubtUntil != NEVER && nowNanos - inDoubtUntil < 0;
        return inDoubt ? List.of() : List.copyOf(recipients.values());
    }

    /** Returns the processes that may have run calls which this node does not know of. */
    public Set<RegisteredMember> unsettled(long nowNanos) {
        update(nowNanos);
        boolean lostOwner = former.stream().anyMatch(this::hasLostOwner);
        Set<RegisteredMember> unknownToOthers = handovers.unsettled();
        Set<RegisteredMember> result = new HashSet<>();
        MemberView next = current;
        for (FormerView view : former) {
            MemberView replacement = next;
            members(view.view())
                    .filter(member -> !member.equals(self))
                    .filter(
                            member ->
                                    !view.hasWindowPassed(
                                            member, ended, takeoverWaitNanos(), nowNanos))
                    .filter(
                            member ->
                                    lostOwner
                                            || unknownToOthers.contains(member)
                                            || (canLoseKeys(member, view.view(), replacement)
                                                    && !hasHandedOver(member, view)))
                    .forEach(result::add);
            next = view.view();
        }
        return result;
    }

    /**
     * Returns whether a key can have moved from a member to this node when a view was replaced. Two
     * nodes that are in both views keep their relative rank, so no key moves between them.
     */
    private boolean canLoseKeys(RegisteredMember member, MemberView view, MemberView next) {
        return next.contains(self) && !(view.contains(self) && next.contains(member));
    }

    /**
     * Notes that a member has accepted a whole handover; one made under an older view than the
     * present one does not count.
     */
    public void onAccepted(RegisteredMember member, long viewOffset) {
        if (current != null && current.offset() == viewOffset) {
            recipients.remove(member.node(), member);
        }
    }

    /** Returns the offset under which a member last handed over, or -1 if it never did. */
    long lastHandoverOffset(RegisteredMember member) {
        return handovers.newestOffset(member);
    }

    /** Returns the owner of a key by the view that this node has read. */
    Optional<RegisteredMember> ownerOf(String key) {
        return currentView().flatMap(view -> view.ownerOf(service, key));
    }

    /** Returns this process as the log registers it. */
    RegisteredMember self() {
        return self;
    }

    /** Returns how long a key is remembered, in nanoseconds. */
    long windowNanos() {
        return windowNanos;
    }

    private void updateRecipients(MemberView next) {
        boolean leaves = !next.contains(self);
        boolean wasMember = current != null && current.contains(self);
        recipients.values().removeIf(member -> !next.contains(member));
        if (!wasMember) {
            return;
        }
        next.incarnations()
                .forEach(
                        (node, incarnation) -> {
                            RegisteredMember member = new RegisteredMember(node, incarnation);
                            if (!member.equals(self) && (leaves || !current.contains(member))) {
                                recipients.put(node, member);
                            }
                        });
    }

    private void update(long nowNanos) {
        former.forEach(view -> view.updateMajority(offsetsRead, ended, nowNanos));
        // Only from the oldest on: a newer view that is past still tells who was lost since.
        while (!former.isEmpty()
                && hasWindowPassedForAll(former.get(former.size() - 1), nowNanos)) {
            former.remove(former.size() - 1);
        }
    }

    private boolean hasWindowPassedForAll(FormerView view, long nowNanos) {
        return members(view.view())
                .allMatch(
                        member ->
                                member.equals(self)
                                        || view.hasWindowPassed(
                                                member, ended, takeoverWaitNanos(), nowNanos));
    }

    /**
     * Returns whether an owner is gone without a handover, so that its keys came here unvouched.
     */
    private boolean hasLostOwner(FormerView view) {
        return members(view.view())
                .anyMatch(
                        member ->
                                !member.equals(self)
                                        && !current.contains(member)
                                        && !hasHandedOver(member, view));
    }

    private boolean hasHandedOver(RegisteredMember member, FormerView view) {
        return handovers.hasHandoverSince(member, view.replacementOffset());
    }

    private boolean isConfirmedByMajority(long nowNanos) {
        if (!current.hasEnoughVoters()) {
            return false;
        }
        long confirmations =
                members(current)
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
        members(current).forEach(known::add);
        former.forEach(view -> members(view.view()).forEach(known::add));
        known.add(self);
        offsetsRead.keySet().retainAll(known);
        long oldest =
                former.isEmpty() ? current.offset() : former.get(former.size() - 1).view().offset();
        handovers.retain(known, oldest);
        ended.retainAll(known);
    }

    private static Stream<RegisteredMember> members(MemberView view) {
        return view.incarnations().entrySet().stream()
                .map(entry -> new RegisteredMember(entry.getKey(), entry.getValue()))
                .sorted(Comparator.comparing(RegisteredMember::node));
    }
}
