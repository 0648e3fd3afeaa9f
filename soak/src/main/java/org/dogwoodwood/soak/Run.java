package org.dogwoodwood.soak;

/**
 * What a target did with one request, as told by the target.
 *
 * @param order the position among the answers of all targets
 * @param arrival the position of the request among those that all targets received
 * @param id the id of the request
 * @param target the name of the target
 * @param connection the number of the connection to the target
 * @param status the status of the answer
 * @param rejected whether the target refused the request without running it
 * @param stamp the unique stamp of the answer
 * @param ending how the target sent the answer
 */
record Run(
        int order,
        int arrival,
        String id,
        String target,
        int connection,
        int status,
        boolean rejected,
        String stamp,
        AnswerEnding ending) {

    private static final int OK = 200;

    boolean succeeded() {
        return status == OK;
    }

    /** Returns whether this is an answer of the same target to the same id after another one. */
    boolean follows(Run other) {
        return order > other.order && id.equals(other.id) && target.equals(other.target);
    }
}
