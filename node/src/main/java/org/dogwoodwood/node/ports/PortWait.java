package org.dogwoodwood.node.ports;

import java.time.Duration;

/** How long a process waits for a port that is in use. */
public enum PortWait {
    /** For a process that an operator starts and watches, who needs the error soon. */
    LIMITED(Duration.ofSeconds(5)),

    /**
     * For a process that another program starts: it would start it again, which takes longer than
     * to wait, and counts an end as a fault.
     */
    UNLIMITED(Duration.ofNanos(Long.MAX_VALUE));

    private final long limitNanos;

    PortWait(Duration limit) {
        this.limitNanos = limit.toNanos();
    }

    boolean isOver(long waitedNanos) {
        return waitedNanos >= limitNanos;
    }
}
