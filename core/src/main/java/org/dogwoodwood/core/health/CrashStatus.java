package org.dogwoodwood.core.health;

/** Classification of a request by the crashes during which it was in flight. */
public enum CrashStatus {
    /** No unexpired crash is recorded since a target last answered it. */
    CLEAR,
    /** It was in flight at a crash, as others were; it runs as usual, and a success clears it. */
    SUSPECT,
    /** It was in flight at too many crashes; it runs only on trial. */
    BLOCKED
}
