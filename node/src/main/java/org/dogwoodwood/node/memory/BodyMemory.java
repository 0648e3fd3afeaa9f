package org.dogwoodwood.node.memory;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.dogwoodwood.core.bodies.BodyBudget;

/**
 * Bounds the sum of the bodies that a process holds. A part of the memory is kept for small bodies,
 * so that small requests are served while large ones are refused. Must be used on the traffic loop
 * only, except for {@link #heldBytes}.
 */
public final class BodyMemory {

    /** The maximum size of a body that may use the part for small bodies, in bytes (256 KiB). */
    static final int SMALL_BODY_BYTES = BodyBudget.SMALL_BODY_BYTES;

    // A body is copied a few times on its way, and the rest of the process needs memory, too.
    private static final double SHARE_OF_PROCESS = 0.25;

    private final BodyBudget<BodyReservation> budget;
    private final AtomicLong heldBytes = new AtomicLong();

    private BodyMemory(long capacityBytes) {
        this.budget = BodyBudget.of(capacityBytes);
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
        return budget.largestBodyBytes();
    }

    /** Returns the number of bytes that are reserved; may be called on any thread. */
    public long heldBytes() {
        return heldBytes.get();
    }

    /** Gives more memory to a body; see {@link BodyBudget#grow}. */
    Optional<List<BodyReservation>> grow(BodyReservation body, long bytes, long moreBytes) {
        Optional<List<BodyReservation>> displaced = budget.grow(body, bytes, moreBytes);
        heldBytes.set(budget.heldBytes());
        return displaced;
    }

    void onReceived(BodyReservation body, long bytes) {
        budget.onReceived(body, bytes);
    }

    void onComplete(BodyReservation body) {
        budget.onComplete(body);
    }

    void release(BodyReservation body, long bytes) {
        budget.release(body, bytes);
        heldBytes.set(budget.heldBytes());
    }
}
