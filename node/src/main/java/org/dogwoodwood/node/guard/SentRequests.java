package org.dogwoodwood.node.guard;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Tells which requests have been sent to a target before, until their deadline. Not thread-safe.
 *
 * <p>The attempts of a call have the same request id. A target may send an answer to one of them
 * again, late; on the same connection, it cannot be told from the answer to the next one.
 */
final class SentRequests {

    /** The largest number of remembered requests; above it, each request counts as repeated. */
    static final int MAX_REQUESTS = 10_000;

    // An ingress repeats a call until its deadline, by a clock that may lag a little.
    private static final long RETENTION_AFTER_DEADLINE_MILLIS = 1_000;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final Map<String, Long> expiryNanosById = new LinkedHashMap<>();

    private SentRequests() {}

    static SentRequests create() {
        return new SentRequests();
    }

    /**
     * Records that a request is sent.
     *
     * @param id the request id, not null
     * @param timeoutMillis the time until the deadline of the call, in milliseconds
     * @param nowNanos the current time in nanoseconds
     * @return whether it may have been sent before
     */
    boolean add(String id, long timeoutMillis, long nowNanos) {
        removeExpired(nowNanos);
        boolean known = expiryNanosById.containsKey(id);
        if (!known && expiryNanosById.size() >= MAX_REQUESTS) {
            return true;
        }
        long retentionMillis = timeoutMillis + RETENTION_AFTER_DEADLINE_MILLIS;
        expiryNanosById.put(id, nowNanos + retentionMillis * NANOS_PER_MILLI);
        return known;
    }

    // Removes only from the oldest entry on, which bounds the work; later ones follow with it.
    private void removeExpired(long nowNanos) {
        Iterator<Long> expiries = expiryNanosById.values().iterator();
        while (expiries.hasNext() && expiries.next() - nowNanos < 0) {
            expiries.remove();
        }
    }
}
