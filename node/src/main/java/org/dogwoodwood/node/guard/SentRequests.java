package org.dogwoodwood.node.guard;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers which requests have been sent to the target, until their deadline, so that each is sent
 * to it once. Not thread-safe.
 *
 * <p>A target may send an answer again, late, on whatever connection. Answers are matched with
 * requests by the request id, which all attempts of a call have in common. After a second attempt,
 * a copy of the first answer could therefore not be told from the second one.
 */
final class SentRequests {

    /** The largest number of remembered requests; above it, the oldest are forgotten. */
    static final int MAX_REQUESTS = 20_000;

    // An ingress repeats a call until its deadline, by a clock that may lag a little.
    private static final long RETENTION_AFTER_DEADLINE_MILLIS = 1_000;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final Map<String, Long> expiryNanosById = new LinkedHashMap<>();

    private SentRequests() {}

    static SentRequests create() {
        return new SentRequests();
    }

    /**
     * Records that a request is sent, unless it has been sent before.
     *
     * @param id the request id, not null
     * @param timeoutMillis the time until the deadline of the call, in milliseconds
     * @param nowNanos the current time in nanoseconds
     * @return whether it may be sent
     */
    boolean addIfNew(String id, long timeoutMillis, long nowNanos) {
        removeExpired(nowNanos);
        long retentionMillis = timeoutMillis + RETENTION_AFTER_DEADLINE_MILLIS;
        long expiryNanos = nowNanos + retentionMillis * NANOS_PER_MILLI;
        boolean isNew = expiryNanosById.putIfAbsent(id, expiryNanos) == null;
        if (expiryNanosById.size() > MAX_REQUESTS) {
            removeOldest();
        }
        return isNew;
    }

    // Removes only from the oldest entry on, which bounds the work; later ones follow with it.
    private void removeExpired(long nowNanos) {
        Iterator<Long> expiries = expiryNanosById.values().iterator();
        while (expiries.hasNext() && expiries.next() - nowNanos < 0) {
            expiries.remove();
        }
    }

    private void removeOldest() {
        Iterator<Long> expiries = expiryNanosById.values().iterator();
        expiries.next();
        expiries.remove();
    }
}
