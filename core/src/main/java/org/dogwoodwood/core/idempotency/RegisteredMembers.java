package org.dogwoodwood.core.idempotency;

import static org.dogwoodwood.core.Preconditions.checkArgument;

import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.dogwoodwood.core.idempotency.MemberView.RegisteredMember;
import org.dogwoodwood.core.model.NodeId;

/**
 * The members of one service as a pure function of the log stream {@code membership}, so that all
 * nodes agree at the same offset.
 */
public final class RegisteredMembers {

    private record Registration(long incarnation, long timestampMillis) {}

    private final String service;
    private final long lifetimeMillis;
    private final Map<NodeId, Registration> registrations = new TreeMap<>();
    private long nextOffset;

    private RegisteredMembers(String service, long lifetimeMillis) {
        this.service = Objects.requireNonNull(service, "service");
        checkArgument(lifetimeMillis > 0, "The lifetime of a registration must be positive.");
        this.lifetimeMillis = lifetimeMillis;
    }

    /**
     * Creates the state before the first record, without members.
     *
     * @param service the service, not null
     * @param lifetimeMillis how long an announcement is valid by the log's clock, in milliseconds;
     *     at most the retention time of the log, so that a reader that starts later derives the
     *     same members
     */
    public static RegisteredMembers create(String service, long lifetimeMillis) {
        return new RegisteredMembers(service, lifetimeMillis);
    }

    /**
     * Applies the next record; one that was already read has no effect.
     *
     * @param record the record, not null
     * @return the new view if the record changes the members, or empty
     */
    public Optional<MemberView> accept(MembershipRecord record) {
        if (record.offset() < nextOffset) {
            return Optional.empty();
        }
        nextOffset = record.offset() + 1;
        Set<RegisteredMember> ended = new HashSet<>();
        boolean changed = removeExpired(record.timestampMillis());
        changed |= apply(record, ended);
        return changed ? Optional.of(view(record.offset(), ended)) : Optional.empty();
    }

    /**
     * Removes all members because the log no longer retains the next record; {@link
     * KeyOwnership#onMissedRecords} must be called too.
     *
     * @param firstOffset the first retained offset, from which reading continues
     */
    public void restartFrom(long firstOffset) {
        registrations.clear();
        nextOffset = firstOffset;
    }

    private boolean apply(MembershipRecord record, Set<RegisteredMember> ended) {
        return switch (record.kind()) {
            case ANNOUNCED -> announce(record, ended);
            case LEFT -> {
                boolean removed = remove(record);
                if (removed) {
                    ended.add(new RegisteredMember(record.node(), record.incarnation()));
                }
                yield removed;
            }
            case REMOVED -> remove(record);
            case OTHER -> false;
        };
    }

    private boolean announce(MembershipRecord record, Set<RegisteredMember> ended) {
        Registration known = registrations.get(record.node());
        if (known != null && known.incarnation() > record.incarnation()) {
            return false;
        }
        if (!record.service().equals(service)) {
            return known != null
                    && known.incarnation() < record.incarnation()
                    && end(record.node(), known, ended);
        }
        registrations.put(
                record.node(), new Registration(record.incarnation(), record.timestampMillis()));
        if (known == null) {
            return true;
        }
        if (known.incarnation() == record.incarnation()) {
            return false;
        }
        ended.add(new RegisteredMember(record.node(), known.incarnation()));
        return true;
    }

    private boolean end(NodeId node, Registration known, Set<RegisteredMember> ended) {
        registrations.remove(node);
        return ended.add(new RegisteredMember(node, known.incarnation()));
    }

    private boolean remove(MembershipRecord record) {
        Registration known = registrations.get(record.node());
        return known != null
                && known.incarnation() == record.incarnation()
                && registrations.remove(record.node()) != null;
    }

    private boolean removeExpired(long nowMillis) {
        return registrations
                .values()
                .removeIf(
                        registration ->
                                nowMillis - registration.timestampMillis() > lifetimeMillis);
    }

    private MemberView view(long offset, Set<RegisteredMember> ended) {
        Map<NodeId, Long> incarnations =
                registrations.entrySet().stream()
                        .collect(
                                Collectors.toMap(
                                        Map.Entry::getKey,
                                        entry -> entry.getValue().incarnation()));
        return new MemberView(offset, incarnations, ended);
    }
}
