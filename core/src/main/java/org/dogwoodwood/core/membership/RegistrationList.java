package org.dogwoodwood.core.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.dogwoodwood.core.model.NodeId;

/**
 * The registered members as a pure function of the log stream {@code membership}, so that all
 * readers agree at the same offset. Not thread-safe.
 */
public final class RegistrationList {

    private final Map<NodeId, Registration> registrations = new HashMap<>();
    private long readThrough = -1;

    private RegistrationList() {}

    /**
     * One registered member.
     *
     * @param node the member
     * @param incarnation its incarnation
     * @param service its service
     * @param offset the offset of the record from which it has been continuously registered
     * @param renewedOffset the offset of its most recent announcement
     */
    public record Registration(
            NodeId node, long incarnation, String service, long offset, long renewedOffset) {}

    /**
     * The registered members of a service.
     *
     * @param members the members in log order
     * @param readThrough the offset of the last applied record, or -1
     */
    public record View(List<Registration> members, long readThrough) {

        /** Copies the list. */
        public View {
            members = List.copyOf(members);
        }
    }

    /** Creates an empty list, before the first record. */
    public static RegistrationList create() {
        return new RegistrationList();
    }

    /** Applies an announcement; one with a lower incarnation than the registered one is ignored. */
    public void onAnnouncement(long offset, NodeId node, long incarnation, String service) {
        if (!advanceTo(offset)) {
            return;
        }
        Registration known = registrations.get(node);
        if (known != null && known.incarnation > incarnation) {
            return;
        }
        boolean renewal =
                known != null && known.incarnation == incarnation && known.service.equals(service);
        long registeredOffset = renewal ? known.offset : offset;
        registrations.put(
                node, new Registration(node, incarnation, service, registeredOffset, offset));
    }

    /** Applies a record by which a member left or another node removed it. */
    public void onRemoval(long offset, NodeId node, long incarnation) {
        Registration known = registrations.get(node);
        if (advanceTo(offset) && known != null && known.incarnation <= incarnation) {
            registrations.remove(node);
        }
    }

    /** Applies a record that does not concern members. */
    public void onOtherRecord(long offset) {
        advanceTo(offset);
    }

    /** Removes members whose most recent announcement the log no longer retains. */
    public void onRecordsExpired(long firstOffset) {
        registrations.values().removeIf(member -> member.renewedOffset < firstOffset);
        readThrough = Math.max(readThrough, firstOffset - 1);
    }

    /** Returns the registration of a node, or empty if it is not registered. */
    public Optional<Registration> find(NodeId node) {
        return Optional.ofNullable(registrations.get(node));
    }

    /** Returns the offset of the last applied record, or -1. */
    public long readThrough() {
        return readThrough;
    }

    /** Returns the members of a service. */
    public View view(String service) {
        List<Registration> members = new ArrayList<>();
        for (Registration member : registrations.values()) {
            if (member.service.equals(service)) {
                members.add(member);
            }
        }
        members.sort(Comparator.comparingLong(Registration::offset));
        return new View(members, readThrough);
    }

    private boolean advanceTo(long offset) {
        if (offset <= readThrough) {
            return false;
        }
        readThrough = offset;
        return true;
    }
}
