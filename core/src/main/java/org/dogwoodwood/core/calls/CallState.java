package org.dogwoodwood.core.calls;

/** The state of an attempt in a {@link CallRegistry}. */
public enum CallState {
    /** The attempt has not arrived before. */
    NEW,
    /** The attempt has been queued or started and has not ended. */
    RUNNING,
    /** The attempt has ended and its answer is retained. */
    FINISHED,
    /** The attempt was cancelled or resumed before it arrived; it has not run and will not run. */
    CANCELLED,
    /** The attempt may have run, but its entry has been evicted. */
    EVICTED
}
