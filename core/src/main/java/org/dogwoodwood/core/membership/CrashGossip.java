package org.dogwoodwood.core.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.dogwoodwood.core.model.NodeId;

/** The crash reports that gossip spreads, each a few times. Not thread-safe. */
final class CrashGossip {

    private static final int MAX_REPORTS = 1_000;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final UpdateQueue<String> queue = new UpdateQueue<>();
    private final Map<String, TimedReport> reports = new HashMap<>();
    private final Map<NodeId, Long> incarnationsOfPresent = new HashMap<>();
    private Set<Long> triedFingerprints = Set.of();

    /**
     * Queues a report; ignored if the store of reports is full.
     *
     * @return whether the report was added
     */
    boolean add(CrashReport report, long nowNanos) {
        long seenNanos = nowNanos - report.ageMillis() * NANOS_PER_MILLI;
        boolean full = reports.size() >= MAX_REPORTS;
        TimedReport timed = new TimedReport(report, seenNanos);
        if (full || reports.putIfAbsent(report.key(), timed) != null) {
            return false;
        }
        queue.add(report.key());
        updateTriedFingerprints();
        return true;
    }

    /** Removes reports that were observed before the given time. */
    void remove(long olderThanNanos) {
        reports.values().removeIf(report -> report.seenNanos < olderThanNanos);
        updateTriedFingerprints();
    }

    /**
     * Queues what is known of requests that crashed targets on trial again, if a member may lack
     * it: its process has begun, or it was cut off for so long that it counted as dead.
     */
    void onMemberChanged(Member member) {
        if (!member.isPresent()) {
            incarnationsOfPresent.remove(member.node());
            return;
        }
        Long before = incarnationsOfPresent.put(member.node(), member.incarnation());
        if (before == null || before != member.incarnation()) {
            queueTrialsAgain();
        }
    }

    private void queueTrialsAgain() {
        if (triedFingerprints.isEmpty()) {
            return;
        }
        reports.forEach(
                (key, timed) -> {
                    if (triedFingerprints.contains(timed.report.fingerprint())) {
                        queue.add(key);
                    }
                });
    }

    boolean isEmpty() {
        return queue.size() == 0;
    }

    /**
     * Returns the next reports that fit into a message, with their present ages.
     *
     * @param budgetBytes the maximum total size of the encoded reports, in bytes
     * @param members the number of members, which determines how often a report is sent
     */
    List<CrashReport> take(int budgetBytes, int members, long nowNanos) {
        List<CrashReport> taken = new ArrayList<>();
        for (String key : queue.take(budgetBytes, this::bytesOf, members)) {
            taken.add(reports.get(key).withAgeAt(nowNanos));
        }
        return taken;
    }

    private void updateTriedFingerprints() {
        Set<Long> tried = new HashSet<>();
        for (TimedReport timed : reports.values()) {
            if (timed.report.kind().isTrial()) {
                tried.add(timed.report.fingerprint());
            }
        }
        triedFingerprints = tried;
    }

    private int bytesOf(String key) {
        TimedReport timed = reports.get(key);
        return timed == null ? 0 : timed.report.encodedBytes();
    }

    private record TimedReport(CrashReport report, long seenNanos) {

        CrashReport withAgeAt(long nowNanos) {
            return new CrashReport(
                    report.fingerprint(),
                    report.kind(),
                    report.guard(),
                    report.targetIncarnation(),
                    report.sequence(),
                    Math.max(0, (nowNanos - seenNanos) / NANOS_PER_MILLI));
        }
    }
}
