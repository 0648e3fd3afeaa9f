package org.dogwoodwood.core.quota;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.dogwoodwood.core.membership.MembershipTimings;
import org.dogwoodwood.core.model.NodeId;
import org.dogwoodwood.core.model.TargetState;
import org.dogwoodwood.core.quota.QuotaView.Members;
import org.dogwoodwood.core.routing.RouteTarget;

/**
 * Remembers members that disappeared without leaving: they may be cut off and still admit calls, so
 * their share of a limit must not be granted by others. Confined to one thread.
 */
public final class QuotaMembers {

    private static final long RETENTION_NANOS = MembershipTimings.defaults().deadRetentionNanos();

    private final Map<NodeId, Seen> seen = new HashMap<>();

    private QuotaMembers() {}

    /** Returns an object that has seen no member. */
    public static QuotaMembers create() {
        return new QuotaMembers();
    }

    /**
     * Returns the members of each data centre.
     *
     * @param current the members that are known at present and are not dead, not null
     */
    public Map<String, Members> update(Collection<RouteTarget> current, long nowNanos) {
        Set<NodeId> present = new HashSet<>();
        for (RouteTarget target : current) {
            present.add(target.node());
            seen.put(target.node(), new Seen(target, nowNanos));
        }
        seen.values()
                .removeIf(
                        member ->
                                !present.contains(member.target().node())
                                        && (member.isLeaving() || member.isOld(nowNanos)));
        Map<String, Members> result = new TreeMap<>();
        for (Seen member : seen.values()) {
            RouteTarget target = member.target();
            boolean reachable = present.contains(target.node()) && !target.suspect();
            boolean eligible = reachable && !member.isLeaving();
            result.merge(
                    target.dataCentre(),
                    new Members(eligible ? Set.of(target.node()) : Set.of(), reachable ? 1 : 0, 1),
                    QuotaMembers::add);
        }
        return result;
    }

    private static Members add(Members one, Members other) {
        Set<NodeId> eligible = new HashSet<>(one.eligible());
        eligible.addAll(other.eligible());
        return new Members(
                eligible, one.reachable() + other.reachable(), one.known() + other.known());
    }

    private record Seen(RouteTarget target, long seenNanos) {

        // A leaving member is shown as down. A member whose target is down is treated alike, which
        // only moves its slots.
        boolean isLeaving() {
            boolean down =
                    target.state() == TargetState.DOWN || target.state() == TargetState.LEAVING;
            return down && !target.suspect();
        }

        boolean isOld(long nowNanos) {
            return nowNanos - seenNanos > RETENTION_NANOS;
        }
    }
}
