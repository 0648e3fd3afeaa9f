package org.dogwoodwood.core.connections;

import static org.dogwoodwood.core.Preconditions.checkArgument;

/**
 * The limits of all connections of one port together.
 *
 * @param capacityBytes the memory that the connections may hold, in bytes
 * @param maxConnections the number of connections that may be open
 */
public record ConnectionLimits(long capacityBytes, int maxConnections) {

    /** What a connection holds from its start: the channel, its handlers and its decoder. */
    public static final int CONNECTION_BYTES = 8 << 10;

    /** What one line of a head or of trailers holds in addition to its bytes. */
    public static final int LINE_BYTES = 128;

    /** What a request that has not been answered holds in addition to its head. */
    public static final int REQUEST_BYTES = 4 << 10;

    /**
     * The most that a connection of an ordinary caller holds: a head of 4 KiB with 40 lines and a
     * request. A part of the capacity is reserved for such connections.
     */
    public static final int ORDINARY_BYTES =
            CONNECTION_BYTES + REQUEST_BYTES + (4 << 10) + 40 * LINE_BYTES;

    // Bodies may use a quarter, and the rest of the process needs about half of a small heap.
    private static final double SHARE_OF_PROCESS = 0.2;
    private static final double SHARE_OF_LARGE_CONNECTIONS = 0.75;

    // The other half is for connections to peers, to the target and to the store, and for files.
    private static final double SHARE_OF_DESCRIPTORS = 0.5;

    /** Checks the ranges. */
    public ConnectionLimits {
        checkArgument(capacityBytes >= CONNECTION_BYTES, "capacityBytes must allow a connection.");
        checkArgument(maxConnections >= 1, "maxConnections must be positive.");
    }

    /**
     * Returns the limits for the callers of a process.
     *
     * @param processBytes the memory that the process may use, in bytes
     * @param processDescriptors the number of descriptors that the process may open in addition to
     *     those that it has open itself
     */
    public static ConnectionLimits ofProcess(long processBytes, long processDescriptors) {
        long capacity = Math.max(CONNECTION_BYTES, (long) (SHARE_OF_PROCESS * processBytes));
        long descriptors = (long) (SHARE_OF_DESCRIPTORS * processDescriptors);
        long most = Math.min(descriptors, capacity / CONNECTION_BYTES);
        return new ConnectionLimits(capacity, (int) Math.max(1, Math.min(most, Integer.MAX_VALUE)));
    }

    /** Returns how much all connections may hold when one of the given size grows. */
    long capacityFor(long connectionBytes) {
        return connectionBytes <= ORDINARY_BYTES
                ? capacityBytes
                : (long) (SHARE_OF_LARGE_CONNECTIONS * capacityBytes);
    }
}
