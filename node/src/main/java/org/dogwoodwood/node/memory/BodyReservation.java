package org.dogwoodwood.node.memory;

import java.util.Objects;

/** The memory that is reserved for one body, until it is released. */
public final class BodyReservation {

    private final BodyMemory memory;
    private long bytes;
    private boolean released;

    BodyReservation(BodyMemory memory) {
        this.memory = Objects.requireNonNull(memory, "memory");
    }

    /**
     * Reserves more memory.
     *
     * @param moreBytes the number of bytes, not negative
     * @return whether they are reserved; false if the memory is used up or this reservation has
     *     been released
     */
    public boolean tryGrow(long moreBytes) {
        if (released || !memory.tryAdd(bytes, moreBytes)) {
            return false;
        }
        bytes += moreBytes;
        return true;
    }

    /** Releases the memory; has no effect if it has been released. */
    public void release() {
        released = true;
        memory.remove(bytes);
        bytes = 0;
    }
}
