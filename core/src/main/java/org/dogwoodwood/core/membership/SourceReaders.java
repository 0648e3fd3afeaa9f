package org.dogwoodwood.core.membership;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Chooses the members that read the source of the operators' configurations at short intervals, on
 * behalf of all members.
 *
 * <p>All members read the source, but most of them wait long for an answer. If all connections stop
 * responding without being closed, only the end of a wait shows it. The reads of the chosen members
 * end soon, and gossip spreads what they find. Their number does not grow with the number of
 * members. They are in different data centres, and another member is chosen as soon as one is
 * suspected or tells that it cannot read the source. Not thread-safe.
 */
public final class SourceReaders {

    /** How many members are chosen, in as many data centres; one covers the loss of the other. */
    static final int COUNT = 2;

    /**
     * How long the own node has been able to read the source before it counts itself, in
     * nanoseconds. When all nodes start together, each knows the others by then.
     */
    static final long SETTLE_NANOS = 3_000_000_000L;

    private static final long SUBJECT_HASH = StableHash.of("source-readers");

    private final MembershipTable table;
    private long decidedChangeCount = -1;
    private boolean chosen;
    private Optional<Long> readableSinceNanos = Optional.empty();

    private SourceReaders(MembershipTable table) {
        this.table = table;
    }

    /** Returns the choice among the members of a table. */
    public static SourceReaders of(MembershipTable table) {
        return new SourceReaders(table);
    }

    /**
     * Returns whether the own node of the table is one of the chosen members.
     *
     * @param nowNanos the current time in nanoseconds
     */
    public boolean includesSelf(long nowNanos) {
        if (!table.self().readsSource()) {
            readableSinceNanos = Optional.empty();
            return false;
        }
        if (readableSinceNanos.isEmpty()) {
            readableSinceNanos = Optional.of(nowNanos);
        }
        boolean settled = nowNanos - readableSinceNanos.get() >= SETTLE_NANOS;
        return settled && isChosen();
    }

    private boolean isChosen() {
        if (decidedChangeCount != table.changeCount()) {
            decidedChangeCount = table.changeCount();
            chosen = decide();
        }
        return chosen;
    }

    private boolean decide() {
        Member self = table.self();
        String ownDataCentre = self.address().dataCentre();
        return dataCentres().contains(ownDataCentre)
                && best(candidates(ownDataCentre)).equals(Optional.of(self));
    }

    private List<String> dataCentres() {
        return candidates()
                .map(member -> member.address().dataCentre())
                .distinct()
                .sorted(Comparator.comparingLong(SourceReaders::score))
                .limit(COUNT)
                .toList();
    }

    private Stream<Member> candidates(String dataCentre) {
        return candidates().filter(member -> member.address().dataCentre().equals(dataCentre));
    }

    private Stream<Member> candidates() {
        return table.members().stream()
                .filter(Member::isPresent)
                .filter(Member::readsSource)
                .filter(member -> member.liveness() == Liveness.ALIVE);
    }

    private static Optional<Member> best(Stream<Member> members) {
        return members.min(Comparator.comparingLong(member -> score(member.node().value())));
    }

    private static long score(String name) {
        return StableHash.combine(SUBJECT_HASH, StableHash.of(name));
    }
}
