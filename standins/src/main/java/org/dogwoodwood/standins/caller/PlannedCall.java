package org.dogwoodwood.standins.caller;

/**
 * A call to send.
 *
 * @param number its position in the load, from 0
 * @param id its id, which the answer must contain
 * @param service the service to call
 * @param isIdempotent whether it may run more than once
 * @param dueNanos when it is due to start, as a value of {@link System#nanoTime()}
 */
record PlannedCall(int number, String id, String service, boolean isIdempotent, long dueNanos) {

    String path(int minAnswerBytes) {
        return "/services/" + service + "/items/" + id + "?bytes=" + minAnswerBytes;
    }

    String body() {
        return isIdempotent ? "" : "deposit of " + id;
    }
}
