package org.dogwoodwood.node.memory;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/** The memory that is reserved for one body, until it is released. */
public final class BodyReservation {

    private final BodyMemory memory;
    private Runnable onDisplaced = () -> {};
    private long bytes;
    private boolean released;

    BodyReservation(BodyMemory memory) {
        this.memory = Objects.requireNonNull(memory, "memory");
    }

    /**
     * Reserves more memory. Bodies that are being received may be displaced for it.
     *
     * @param moreBytes the number of bytes, not negative
     * @return whether they are reserved; false if the memory is used up or this reservation has
     *     been released
     */
    public boolean tryGrow(long moreBytes) {
        if (released) {
            return false;
        }
        Optional<List<BodyReservation>> displaced = memory.grow(this, bytes, moreBytes);
        if (displaced.isEmpty()) {
            return false;
        }
        bytes += moreBytes;
        displaced.get().forEach(BodyReservation::displace);
        return true;
    }

    /**
     * Allows other bodies to take this memory until the whole body has been received.
     *
     * @param listener called when they do; this reservation has been released then
     */
    public void startReceiving(Runnable listener) {
        onDisplaced = Objects.requireNonNull(listener, "listener");
        onReceived();
    }

    /** Records that a part of the body has arrived. */
    public void onReceived() {
        if (!released) {
            memory.onReceived(this, bytes);
        }
    }

    /** Records that the whole body has arrived; others cannot take its memory any more. */
    public void onComplete() {
        memory.onComplete(this);
    }

    /** Returns whether the memory has been released, or taken by another body. */
    public boolean isReleased() {
        return released;
    }

    /** Releases the memory; has no effect if it has been released. */
    public void release() {
        released = true;
        memory.release(this, bytes);
        bytes = 0;
    }

    private void displace() {
        released = true;
        bytes = 0;
        onDisplaced.run();
    }
}
