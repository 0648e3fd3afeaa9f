package org.dogwoodwood.standins.caller;

/** The outcome of a call as seen by its caller. */
public enum CallResult {
    /** The complete answer to the caller's own request. */
    ANSWERED,
    /** The system reported that the call was not run, and retries did not succeed. */
    REFUSED,
    /** The system reported that it is not known whether the call was run. */
    UNKNOWN,
    /** No answer: the connection failed or the call timed out. */
    LOST,
    /** An answer to another request, a truncated answer or a malformed answer. */
    WRONG
}
