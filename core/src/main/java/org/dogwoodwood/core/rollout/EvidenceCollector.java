package org.dogwoodwood.core.rollout;

import java.util.HashMap;
import java.util.Map;
import org.dogwoodwood.core.model.NodeId;

/**
 * Adds up the reports of all nodes about one order. Reports may be lost, repeated or late. Not
 * thread-safe.
 */
final class EvidenceCollector {

    private final long orderId;
    private final Map<NodeId, EvidenceReport> latest = new HashMap<>();
    private final Map<String, RouteEvidence> unread = new HashMap<>();
    private long calls;
    private long attempts;

    EvidenceCollector(long orderId, long calls, long attempts) {
        this.orderId = orderId;
        this.calls = calls;
        this.attempts = attempts;
    }

    /**
     * Adds what a report contains beyond the previous one of the node. The first report of a node
     * adds nothing: the node has not been granted a share by this decider, and the attempts of an
     * earlier decider are part of the stored reservation.
     */
    void onReport(EvidenceReport report) {
        EvidenceReport previous = latest.get(report.node());
        if (report.orderId() != orderId || (previous != null && !follows(report, previous))) {
            return;
        }
        latest.put(report.node(), report);
        if (previous == null) {
            return;
        }
        // The counts of a restarted process begin at zero.
        boolean restarted = previous.incarnation() != report.incarnation();
        Map<String, RouteEvidence> known = restarted ? Map.of() : previous.routes();
        calls += report.calls() - (restarted ? 0 : previous.calls());
        report.routes()
                .forEach(
                        (route, total) ->
                                add(
                                        route,
                                        total.minus(
                                                known.getOrDefault(route, RouteEvidence.none()))));
    }

    /** Returns whether a node has reported, so that it may be granted a share. */
    boolean hasReportOf(NodeId node) {
        return latest.containsKey(node);
    }

    /** Returns the evidence since the previous call, by route. */
    Map<String, RouteEvidence> takeUnread() {
        Map<String, RouteEvidence> taken = Map.copyOf(unread);
        unread.clear();
        return taken;
    }

    /** Returns the calls that have certainly reached the service. */
    long calls() {
        return calls;
    }

    /** Returns the attempts that may have been made at the new version. */
    long attempts() {
        return attempts;
    }

    private void add(String route, RouteEvidence added) {
        attempts += added.next().sent();
        unread.merge(route, added, RouteEvidence::plus);
    }

    private static boolean follows(EvidenceReport report, EvidenceReport previous) {
        return report.incarnation() == previous.incarnation()
                ? report.sequence() > previous.sequence()
                : report.incarnation() > previous.incarnation();
    }
}
