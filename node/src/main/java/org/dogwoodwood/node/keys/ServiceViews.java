package org.dogwoodwood.node.keys;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.dogwoodwood.codec.log.AnnouncementRecord;
import org.dogwoodwood.codec.log.ExpiryRecord;
import org.dogwoodwood.codec.log.LeaveRecord;
import org.dogwoodwood.core.idempotency.MemberView;
import org.dogwoodwood.core.idempotency.MembershipRecord;
import org.dogwoodwood.core.idempotency.MembershipRecord.Kind;
import org.dogwoodwood.core.idempotency.RegisteredMembers;
import org.dogwoodwood.core.model.NodeId;
import org.dogwoodwood.node.control.LogEntry;

/**
 * The registered members of every service, built from the records of the log; used on the traffic
 * loop only.
 */
final class ServiceViews {

    // The number of views kept for each service before this node's target has announced its
    // service.
    private static final int MAX_HISTORY = 64;

    private final long lifetimeMillis;
    private final Map<String, ServiceMembers> services = new HashMap<>();
    private final Map<String, String> serviceByNode = new HashMap<>();
    private int maxHistory = MAX_HISTORY;

    ServiceViews(long lifetimeMillis) {
        this.lifetimeMillis = lifetimeMillis;
    }

    /**
     * Applies the next record and returns the new views of the services whose members it changes. A
     * record is applied only to the services that its node is or was a member of, so that the cost
     * of reading does not grow with the number of services.
     */
    Map<String, MemberView> accept(LogEntry entry) {
        if (entry.content() instanceof AnnouncementRecord announced) {
            return announce(entry, announced);
        }
        if (entry.content() instanceof LeaveRecord left) {
            return remove(entry, Kind.LEFT, left.node(), left.incarnation());
        }
        if (entry.content() instanceof ExpiryRecord removed) {
            return remove(entry, Kind.REMOVED, removed.node(), removed.incarnation());
        }
        return Map.of();
    }

    /**
     * Discards all but the newest view of each service, also of later changes, to limit memory use.
     */
    void discardHistory() {
        maxHistory = 1;
        services.values().forEach(ServiceMembers::trim);
    }

    /** Removes all members, since records were missed. */
    void restartFrom(long firstOffset) {
        services.values().forEach(service -> service.restartFrom(firstOffset));
    }

    /** Returns the newest view of the members of a service, or empty if there is none. */
    Optional<MemberView> viewOf(String service) {
        return Optional.ofNullable(services.get(service)).flatMap(ServiceMembers::newest);
    }

    /** Returns the retained views of a service, oldest first. */
    List<MemberView> historyOf(String service) {
        ServiceMembers members = services.get(service);
        return members == null ? List.of() : List.copyOf(members.history);
    }

    /** Returns whether earlier views or records of a service are no longer available. */
    boolean isHistoryTruncated(String service) {
        ServiceMembers members = services.get(service);
        return members != null && members.truncated;
    }

    private Map<String, MemberView> announce(LogEntry entry, AnnouncementRecord announced) {
        MembershipRecord next =
                new MembershipRecord(
                        entry.offset(),
                        entry.timestampMillis(),
                        Kind.ANNOUNCED,
                        NodeId.of(announced.node()),
                        announced.incarnation(),
                        announced.service());
        String formerService = serviceByNode.put(announced.node(), announced.service());
        services.computeIfAbsent(announced.service(), this::createMembers);
        Map<String, MemberView> changed = new HashMap<>();
        applyTo(announced.service(), next, changed);
        if (formerService != null && !formerService.equals(announced.service())) {
            applyTo(formerService, next, changed);
        }
        return changed;
    }

    private Map<String, MemberView> remove(
            LogEntry entry, Kind kind, String node, long incarnation) {
        String service = serviceByNode.get(node);
        Map<String, MemberView> changed = new HashMap<>();
        if (service != null) {
            MembershipRecord next =
                    new MembershipRecord(
                            entry.offset(),
                            entry.timestampMillis(),
                            kind,
                            NodeId.of(node),
                            incarnation,
                            service);
            applyTo(service, next, changed);
        }
        return changed;
    }

    private void applyTo(String service, MembershipRecord next, Map<String, MemberView> changed) {
        services.get(service).accept(next).ifPresent(view -> changed.put(service, view));
    }

    private ServiceMembers createMembers(String name) {
        return new ServiceMembers(RegisteredMembers.create(name, lifetimeMillis));
    }

    private final class ServiceMembers {
        private final RegisteredMembers members;
        private final List<MemberView> history = new ArrayList<>();
        private boolean truncated;

        private ServiceMembers(RegisteredMembers members) {
            this.members = members;
        }

        private Optional<MemberView> accept(MembershipRecord next) {
            Optional<MemberView> view = members.accept(next);
            view.ifPresent(history::add);
            trim();
            return view;
        }

        private void trim() {
            while (history.size() > maxHistory) {
                history.remove(0);
                truncated = true;
            }
        }

        private void restartFrom(long firstOffset) {
            members.restartFrom(firstOffset);
            history.clear();
            truncated = true;
        }

        private Optional<MemberView> newest() {
            return history.isEmpty()
                    ? Optional.empty()
                    : Optional.of(history.get(history.size() - 1));
        }
    }
}
