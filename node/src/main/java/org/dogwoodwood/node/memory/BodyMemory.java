package org.dogwoodwood.node.memory;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Bounds the sum of the bodies that a process holds. A part of the memory is kept for small bodies,
 * so that small requests are served while large ones are refused. Must be used on the traffic loop
 * only, except for {@link #heldBytes}.
 */
public final class BodyMemory {

    /** The maximum size of a body that may use the part for small bodies, in bytes (256 KiB). */
    static final int SMALL_BODY_BYTES = 256 << 10;

    // A body is copied a few times on its way, and the rest of the process needs memory, too.
    private static final double SHARE_OF_PROCESS = 0.25;
    private static final double SHARE_OF_LARGE_BODIES = 0.75;

    private final long capacityBytes;
    private final AtomicLong heldBytes = new AtomicLong();

    private BodyMemory(long capacityBytes) {
        this.capacityBytes = capacityBytes;
    }

    /** Returns memory of the given size, in bytes, that holds nothing. */
    public static BodyMemory of(long capacityBytes) {
        return new BodyMemory(capacityBytes);
    }

    /** Returns the memory for bodies of a process that may use the given number of bytes. */
    public static BodyMemory ofProcess(long processBytes) {
        return of((long) (SHARE_OF_PROCESS * processBytes));
    }

    /** Returns a reservation of no bytes. */
    public BodyReservation reservation() {
        return new BodyReservation(this);
    }

    /** Returns the size of the largest body that can be held if no other one is, in bytes. */
    public long largestBodyBytes() {
        return (long) (SHARE_OF_LARGE_BODIES * capacityBytes);
    }

    /** Returns the number of bytes that are reserved; may be called on any thread. */
    public long heldBytes() {
        return heldBytes.get();
    }

    /** Adds to a reservation of the given size, unless the memory for such a body is used up. */
    boolean tryAdd(long reservedBytes, long moreBytes) {
        boolean small = reservedBytes + moreBytes <= SMALL_BODY_BYTES;
        long limitBytes = small ? capacityBytes : largestBodyBytes();
        if (moreBytes > limitBytes - heldBytes.get()) {
            return false;
        }
        heldBytes.addAndGet(moreBytes);
        return true;
    }

    void remove(long bytes) {
        heldBytes.addAndGet(-bytes);
    }
}
