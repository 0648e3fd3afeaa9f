package org.dogwoodwood.core.connections;

import static org.dogwoodwood.core.Preconditions.checkState;

import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;

/**
 * Divides a bounded amount of memory and of connections among the connections of a port.
 *
 * <p>When one of the limits is reached, connections that wait for their caller are closed, the
 * longest waiting first. A connection with a request in progress is never closed; if there are only
 * such connections, the one that needs more is refused. A part of the memory is reserved for
 * connections that hold no more than those of ordinary callers.
 *
 * <p>Must be used on one thread only.
 *
 * @param <C> the type of a connection; connections are compared by identity
 */
public final class ConnectionBudget<C> {

    private final ConnectionLimits limits;
    private final IdentityHashMap<C, Entry<C>> entries = new IdentityHashMap<>();
    // Each in the order in which the connections began to wait for their callers.
    private final Set<Entry<C>> waitingOrdinary = new LinkedHashSet<>();
    private final Set<Entry<C>> waitingLarge = new LinkedHashSet<>();
    private long heldBytes;

    private ConnectionBudget(ConnectionLimits limits) {
        this.limits = Objects.requireNonNull(limits, "limits");
    }

    /** Returns a budget without connections. */
    public static <C> ConnectionBudget<C> of(ConnectionLimits limits) {
        return new ConnectionBudget<>(limits);
    }

    /**
     * Adds a connection that has just been opened.
     *
     * @return the connections that must be closed; this may be the new one
     */
    public List<C> open(C connection) {
        Entry<C> entry = new Entry<>(connection);
        checkState(entries.put(connection, entry) == null, "The connection is open already.");
        waitingOrdinary.add(entry);
        List<C> closing = new ArrayList<>();
        if (entries.size() > limits.maxConnections()) {
            Set<Entry<C>> waiting = waitingLarge.isEmpty() ? waitingOrdinary : waitingLarge;
            closing.add(evict(waiting.iterator().next()));
        }
        closing.addAll(hold(connection, ConnectionLimits.CONNECTION_BYTES));
        return closing;
    }

    /**
     * Sets what a connection holds.
     *
     * @param bytes the memory, in bytes, as {@link ConnectionLimits} counts it
     * @return the connections that must be closed; if the given one is among them, it must not read
     *     more
     */
    public List<C> hold(C connection, long bytes) {
        Entry<C> entry = entries.get(connection);
        if (entry == null) {
            return List.of();
        }
        long more = bytes - entry.bytes;
        setBytes(entry, bytes);
        if (more <= 0 || heldBytes <= limits.capacityFor(bytes)) {
            return List.of();
        }
        return evictUntilWithin(limits.capacityFor(bytes), entry);
    }

    /** Records that a request of a connection is in progress. */
    public void onBusy(C connection) {
        Entry<C> entry = entries.get(connection);
        if (entry != null) {
            stopWaiting(entry);
        }
    }

    /** Records that all requests of a connection have been answered. */
    public void onIdle(C connection) {
        Entry<C> entry = entries.get(connection);
        if (entry != null) {
            stopWaiting(entry);
            waitingWith(entry).add(entry);
        }
    }

    /** Removes a connection; has no effect if it has been removed. */
    public void close(C connection) {
        Entry<C> entry = entries.get(connection);
        if (entry != null) {
            evict(entry);
        }
    }

    /** Returns the number of connections. */
    public int connections() {
        return entries.size();
    }

    /** Returns what all connections hold, in bytes. */
    public long heldBytes() {
        return heldBytes;
    }

    /**
     * Closes waiting connections: those that hold more than an ordinary one first, since closing
     * them disturbs fewer callers, then all others.
     */
    private List<C> evictUntilWithin(long capacity, Entry<C> growing) {
        List<C> closing = new ArrayList<>();
        evictUntilWithin(capacity, waitingLarge, growing, closing);
        if (!growing.isLarge()) {
            // Only an ordinary connection displaces ordinary ones.
            evictUntilWithin(capacity, waitingOrdinary, growing, closing);
        }
        if (heldBytes > capacity) {
            closing.add(evict(growing));
        }
        return closing;
    }

    private void evictUntilWithin(
            long capacity, Set<Entry<C>> waiting, Entry<C> growing, List<C> closing) {
        boolean waits = waiting.remove(growing);
        while (heldBytes > capacity && !waiting.isEmpty()) {
            closing.add(evict(waiting.iterator().next()));
        }
        if (waits) {
            waiting.add(growing);
        }
    }

    private void setBytes(Entry<C> entry, long bytes) {
        boolean wasLarge = entry.isLarge();
        heldBytes += bytes - entry.bytes;
        if (wasLarge == isLarge(bytes)) {
            entry.bytes = bytes;
            return;
        }
        boolean waits = stopWaiting(entry);
        entry.bytes = bytes;
        if (waits) {
            waitingWith(entry).add(entry);
        }
    }

    private Set<Entry<C>> waitingWith(Entry<C> entry) {
        return entry.isLarge() ? waitingLarge : waitingOrdinary;
    }

    private boolean stopWaiting(Entry<C> entry) {
        return waitingWith(entry).remove(entry);
    }

    private C evict(Entry<C> entry) {
        entries.remove(entry.connection);
        stopWaiting(entry);
        heldBytes -= entry.bytes;
        return entry.connection;
    }

    private static boolean isLarge(long bytes) {
        return bytes > ConnectionLimits.ORDINARY_BYTES;
    }

    /** One connection and what it holds. */
    private static final class Entry<C> {

        private final C connection;
        private long bytes;

        Entry(C connection) {
            this.connection = connection;
        }

        boolean isLarge() {
            return ConnectionBudget.isLarge(bytes);
        }
    }
}
