package org.dogwoodwood.core.model;

/** The state of a target as observed by its guard. */
public enum TargetState {
    /** Recently started, with reduced capacity. */
    COLD(true),
    /** In normal operation. */
    WARM(true),
    /** Finishes the calls in flight and accepts no new ones. */
    DRAINING(false),
    /** Its node is shutting down; accepts no new calls. */
    LEAVING(false),
    /** Does not answer its guard. */
    DOWN(false);

    private final boolean acceptsWork;

    TargetState(boolean acceptsWork) {
        this.acceptsWork = acceptsWork;
    }

    /** Returns whether a target in this state accepts new calls. */
    public boolean acceptsWork() {
        return acceptsWork;
    }
}
