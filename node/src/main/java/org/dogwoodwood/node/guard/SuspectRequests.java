package org.dogwoodwood.node.guard;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;

/** Recent requests whose connection broke; they are suspected if the target has crashed. */
final class SuspectRequests {

    // The next poll, which confirms a crash, follows within about a second.
    private static final long RETENTION_NANOS = 5_000_000_000L;
    private static final int MAX_ENTRIES = 1_000;

    private final Deque<BrokenRequest> broken = new ArrayDeque<>();

    /** Adds a request that was not answered because its connection broke. */
    void add(long fingerprint, long nowNanos) {
        removeExpired(nowNanos);
        if (broken.size() >= MAX_ENTRIES) {
            broken.removeFirst();
        }
        broken.addLast(new BrokenRequest(fingerprint, nowNanos));
    }

    /** Removes all requests and returns the fingerprints of the recent ones. */
    Set<Long> take(long nowNanos) {
        removeExpired(nowNanos);
        Set<Long> fingerprints = new HashSet<>();
        broken.forEach(entry -> fingerprints.add(entry.fingerprint()));
        broken.clear();
        return fingerprints;
    }

    private void removeExpired(long nowNanos) {
        while (!broken.isEmpty() && nowNanos - broken.getFirst().atNanos() > RETENTION_NANOS) {
            broken.removeFirst();
        }
    }

    private record BrokenRequest(long fingerprint, long atNanos) {}
}
