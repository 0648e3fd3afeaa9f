package org.dogwoodwood.soak;

/** A rule that each answer to a client, or each process of a node, must hold. */
enum Rule {
    OWN_ID("the answer belongs to another request, or cannot be read"),
    SIGNED_SUCCESS("the success is not the whole answer of a run of its id"),
    LATEST_SUCCESS("the target answered the same id with a failure after this success"),
    FAILURE_OF_ITS_RUN("the failure has a stamp, but not the status of that run"),
    AT_MOST_ONCE("an unsafe request ran more than once"),
    PROMISE_KEPT("an unsafe request was answered as not run, and has run"),
    NO_STRAY_BYTES("bytes came while no request was waiting"),
    OWN_END("a process ended by itself"),
    NOT_STARTED("a process that was not told to end is not ready"),
    STUCK("a process did not end within the grace time"),
    SERVED_AFTER_RETURN("requests that crash nothing are refused though all targets are back"),
    RETURNED_TARGET_USED("a target that is back gets no request"),
    CRASHER_STOPPED("a request goes on crashing targets");

    private final String description;

    Rule(String description) {
        this.description = description;
    }

    String description() {
        return description;
    }
}
