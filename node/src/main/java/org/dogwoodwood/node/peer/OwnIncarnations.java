package org.dogwoodwood.node.peer;

/**
 * The incarnations by which peers know this process: the one that it began with, and a higher one
 * once peers or the log are found to know its node by that, since the clock of the VM was set back
 * before the process began. Thread-safe.
 *
 * <p>Reports and calls of the process must carry the higher one to count as newer than those of the
 * process before, whose memory was lost.
 */
public final class OwnIncarnations {

    private final long first;
    private volatile long current;

    private OwnIncarnations(long first) {
        this.first = first;
        this.current = first;
    }

    /** Returns the incarnations of a process that begins with the given one. */
    public static OwnIncarnations of(long first) {
        return new OwnIncarnations(first);
    }

    /** Returns the incarnation by which peers know the process now. */
    public long current() {
        return current;
    }

    /** Returns whether an incarnation is one of this process. */
    public boolean contains(long incarnation) {
        return incarnation == current || incarnation == first;
    }

    /** Records the incarnation by which peers know the process; lower ones have no effect. */
    public synchronized void raise(long incarnation) {
        current = Math.max(current, incarnation);
    }
}
