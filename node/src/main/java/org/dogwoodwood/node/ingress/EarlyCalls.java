package org.dogwoodwood.node.ingress;

/**
 * Counts the calls of all connections that run before their requests are dispatched. Bounded, since
 * callers that send many requests at once would otherwise leave no capacity for those that wait for
 * each answer.
 */
final class EarlyCalls {

    static final int MAX_CALLS = 128;

    private int calls;

    /** Returns whether another call may start early. */
    boolean hasRoom() {
        return calls < MAX_CALLS;
    }

    void onStarted() {
        calls++;
    }

    void onDispatchedOrCancelled() {
        calls--;
    }
}
