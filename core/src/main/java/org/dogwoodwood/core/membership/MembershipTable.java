package org.dogwoodwood.core.membership;

import static org.dogwoodwood.core.Preconditions.checkArgument;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.dogwoodwood.core.model.NodeId;

/**
 * The members known to one node, including its own entry. Not thread-safe.
 *
 * <p>Of two entries of a node, the one with the higher incarnation takes precedence, then the
 * higher version, then the worse liveness. A suspected member refutes the suspicion by increasing
 * its version (SWIM, Das et al. 2002).
 */
public final class MembershipTable {

    private final TreeMap<Key, Entry> entries = new TreeMap<>(Key.ORDER);
    private final MembershipTimings timings;
    private final Consumer<Member> changeListener;
    private final NodeId ownId;
    private Member self;
    private long lastAcknowledgedNanos;
    private long resumedNanos;
    private long lastTickNanos;
    private long changeCount;

    private MembershipTable(
            Member self,
            MembershipTimings timings,
            Consumer<Member> changeListener,
            long nowNanos) {
        this.self = Objects.requireNonNull(self, "self");
        this.ownId = self.node();
        this.timings = timings;
        this.changeListener = changeListener;
        this.lastAcknowledgedNanos = nowNanos - timings.leaseNanos();
        this.resumedNanos = nowNanos;
        this.lastTickNanos = nowNanos;
    }

    /**
     * Creates a table with one member.
     *
     * @param self this node's own entry, not null
     * @param timings the timings of failure detection, not null
     * @param changeListener receives each entry that was added or changed, not null
     * @param nowNanos the current time on the monotonic clock, in nanoseconds
     */
    public static MembershipTable create(
            Member self,
            MembershipTimings timings,
            Consumer<Member> changeListener,
            long nowNanos) {
        MembershipTable table = new MembershipTable(self, timings, changeListener, nowNanos);
        table.put(self, nowNanos);
        return table;
    }

    /** Returns this node's own entry. */
    public Member self() {
        return self;
    }

    /**
     * Replaces this node's own entry.
     *
     * @param newSelf the entry, with a higher incarnation or version than the current one
     * @param nowNanos the current time in nanoseconds
     */
    public void updateSelf(Member newSelf, long nowNanos) {
        checkArgument(
                newSelf.supersedes(self),
                "The entry must have a higher incarnation or version than the current one.");
        self = newSelf;
        put(newSelf, nowNanos);
    }

    /**
     * Merges an entry from gossip or the log.
     *
     * @return whether the table changed
     */
    public boolean merge(Member member, long nowNanos) {
        if (member.node().equals(ownId)) {
            return refute(member.livenessUpdate(), nowNanos);
        }
        Entry known = entries.get(Key.of(member.node()));
        // Ignores unknown members that are not present: otherwise nodes that have removed a dead
        // member would receive it again from each other, and it would never be removed everywhere.
        boolean accepted = known == null ? member.isPresent() : member.supersedes(known.member);
        if (accepted) {
            put(member, nowNanos);
        }
        return accepted;
    }

    /**
     * Merges the observed liveness of a known member.
     *
     * @return whether the table changed
     */
    public boolean merge(LivenessUpdate update, long nowNanos) {
        if (update.node().equals(ownId)) {
            return refute(update, nowNanos);
        }
        Entry known = entries.get(Key.of(update.node()));
        if (known == null
                || known.member.incarnation() != update.incarnation()
                || known.member.version() != update.version()
                || update.liveness().compareTo(known.member.liveness()) <= 0) {
            return false;
        }
        put(known.member.withLiveness(update.liveness()), nowNanos);
        return true;
    }

    /**
     * Records that a peer answered an exchange and does not suspect this node.
     *
     * @param sentNanos when the request was sent, in nanoseconds; the lease starts at this time
     */
    public void onAcknowledged(long sentNanos) {
        lastAcknowledgedNanos = Math.max(lastAcknowledgedNanos, sentNanos);
    }

    /**
     * Marks a member suspect after direct and indirect exchanges with it failed.
     *
     * <p>Has no effect if since the request no peer has answered this node or this process was
     * paused, as the fault may then be local (Lifeguard, Dadgar et al. 2018).
     *
     * @param node the member
     * @param sentNanos when the first failed request was sent, in nanoseconds
     * @param nowNanos the current time in nanoseconds
     * @return whether the member became suspect
     */
    public boolean suspect(NodeId node, long sentNanos, long nowNanos) {
        boolean paused =
                resumedNanos > sentNanos
                        || nowNanos - lastTickNanos > timings.pauseThresholdNanos();
        boolean unacknowledged = lastAcknowledgedNanos < sentNanos;
        Entry known = entries.get(Key.of(node));
        if (paused
                || unacknowledged
                || known == null
                || known.member.liveness() != Liveness.ALIVE) {
            return false;
        }
        put(known.member.withLiveness(Liveness.SUSPECT), nowNanos);
        return true;
    }

    /**
     * Advances time: declares suspects dead after the suspect timeout and removes dead and left
     * members after their retention time. A pause of this process does not count towards these
     * times.
     */
    public void tick(long nowNanos) {
        long gap = nowNanos - lastTickNanos;
        lastTickNanos = nowNanos;
        if (gap > timings.pauseThresholdNanos()) {
            resumedNanos = nowNanos;
            entries.values().forEach(entry -> entry.changedNanos += gap);
        }
        List<Entry> due = new ArrayList<>();
        for (Entry entry : entries.values()) {
            if (!entry.member.node().equals(ownId) && hasTimedOut(entry, nowNanos)) {
                due.add(entry);
            }
        }
        due.forEach(entry -> expire(entry, nowNanos));
    }

    /**
     * Returns when the exchange was sent that last renewed the lease of this node, in nanoseconds.
     */
    public long lastAcknowledgedNanos() {
        return lastAcknowledgedNanos;
    }

    /**
     * Returns the time until which this node may start calls, in nanoseconds. It is {@link
     * Long#MAX_VALUE} if the node has no peers or has been isolated from all of them for the
     * isolation timeout.
     */
    public long ownLeaseExpiryNanos(long nowNanos) {
        if (!hasPeers() || isIsolated(nowNanos)) {
            return Long.MAX_VALUE;
        }
        return lastAcknowledgedNanos + timings.leaseNanos();
    }

    /**
     * Returns whether no peer has answered for the isolation timeout while this node was running.
     */
    public boolean isIsolated(long nowNanos) {
        long since = Math.max(lastAcknowledgedNanos, resumedNanos);
        boolean notPaused = nowNanos - lastTickNanos <= timings.pauseThresholdNanos();
        return notPaused && hasPeers() && nowNanos - since > timings.isolationTimeoutNanos();
    }

    /** Returns whether there is another member that is neither dead nor leaving. */
    public boolean hasPeers() {
        for (Entry entry : entries.values()) {
            if (entry.member.isPresent() && !entry.member.node().equals(ownId)) {
                return true;
            }
        }
        return false;
    }

    /** Returns the entry of a node, or empty if it is unknown. */
    public Optional<Member> find(NodeId node) {
        return Optional.ofNullable(entries.get(Key.of(node))).map(entry -> entry.member);
    }

    /** Returns all members including this node, ordered by hash. */
    public List<Member> members() {
        return entries.values().stream().map(entry -> entry.member).toList();
    }

    /** Returns the number of members, including dead ones. */
    public int size() {
        return entries.size();
    }

    /** Returns a counter that increases with every change of an entry. */
    public long changeCount() {
        return changeCount;
    }

    /** Returns the members whose hash lies in a range of unsigned numbers, both bounds included. */
    List<Member> membersInHashRange(long fromHash, long toHash) {
        SortedMap<Key, Entry> part =
                entries.subMap(new Key(fromHash, ""), true, new Key(toHash, "\uffff"), true);
        return part.values().stream().map(entry -> entry.member).toList();
    }

    private boolean refute(LivenessUpdate update, long nowNanos) {
        boolean stale =
                update.incarnation() < self.incarnation()
                        || (update.incarnation() == self.incarnation()
                                && update.version() < self.version());
        boolean matchesSelf =
                update.incarnation() == self.incarnation()
                        && update.version() == self.version()
                        && update.liveness() == Liveness.ALIVE;
        if (stale || matchesSelf) {
            return false;
        }
        if (update.incarnation() > self.incarnation()) {
            updateSelf(self.withIncarnation(update.incarnation() + 1), nowNanos);
        } else {
            updateSelf(self.withVersion(update.version() + 1), nowNanos);
        }
        return true;
    }

    private boolean hasTimedOut(Entry entry, long nowNanos) {
        long age = nowNanos - entry.changedNanos;
        if (entry.member.liveness() == Liveness.SUSPECT) {
            return age > timings.suspectTimeoutNanos();
        }
        if (entry.member.liveness() == Liveness.DEAD) {
            return age > timings.deadRetentionNanos();
        }
        return !entry.member.isPresent() && age > timings.leftRetentionNanos();
    }

    private void expire(Entry entry, long nowNanos) {
        if (entry.member.liveness() == Liveness.SUSPECT) {
            put(entry.member.withLiveness(Liveness.DEAD), nowNanos);
        } else {
            entries.remove(Key.of(entry.member.node()));
            changeCount++;
        }
    }

    private void put(Member member, long nowNanos) {
        entries.put(Key.of(member.node()), new Entry(member, nowNanos));
        changeCount++;
        changeListener.accept(member);
    }

    private record Key(long hash, String node) {

        static final Comparator<Key> ORDER =
                (left, right) -> {
                    int byHash = Long.compareUnsigned(left.hash, right.hash);
                    return byHash != 0 ? byHash : left.node.compareTo(right.node);
                };

        static Key of(NodeId node) {
            return new Key(StableHash.of(node.value()), node.value());
        }
    }

    private static final class Entry {
        private final Member member;
        private long changedNanos;

        private Entry(Member member, long changedNanos) {
            this.member = member;
            this.changedNanos = changedNanos;
        }
    }
}
