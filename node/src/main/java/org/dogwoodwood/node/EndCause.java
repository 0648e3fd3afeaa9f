package org.dogwoodwood.node;

/** Why the process of a node ends. */
enum EndCause {
    /** The process has received SIGTERM. */
    SIGTERM(143),
    /** The node has not started. */
    START_FAILED(1),
    /** An event loop has ended, so that the node can do nothing more. */
    EVENT_LOOP_ENDED(4),
    /** No cause was recorded, as after SIGINT. */
    UNRECORDED(-1);

    private final int status;

    EndCause(int status) {
        this.status = status;
    }

    /** Returns the exit status of the process, or -1 if it is not known. */
    int status() {
        return status;
    }
}
