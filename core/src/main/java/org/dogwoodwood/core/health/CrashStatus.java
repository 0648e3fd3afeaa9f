package org.dogwoodwood.core.health;

/** Classification of a request by the crashes during which it was in flight. */
public enum CrashStatus {
    /** No unexpired crash is recorded since the request was last cleared. */
    CLEAR,
    /** It was in flight at a crash; only one attempt runs at a time, at one target. */
    SUSPECT,
    /** It was in flight at too many crashes and is refused. */
    BLOCKED
}
