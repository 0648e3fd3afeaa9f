package org.dogwoodwood.node.http;

/** The progress of the exchanges on one connection, shared by the handlers of its pipeline. */
final class ExchangeState {

    private boolean waiting;
    private boolean ended;
    private boolean droppingForeignResponses;

    /**
     * Creates the state of a connection that has just been opened.
     *
     * @param droppingForeignResponses whether responses to other requests than the waiting one are
     *     recognized and dropped
     */
    ExchangeState(boolean droppingForeignResponses) {
        this.droppingForeignResponses = droppingForeignResponses;
    }

    /** Returns whether a request has been sent whose final response has not ended. */
    boolean isWaiting() {
        return waiting;
    }

    /** Returns whether a final response has ended since the last read began. */
    boolean hasEnded() {
        return ended;
    }

    boolean isDroppingForeignResponses() {
        return droppingForeignResponses;
    }

    void onRead() {
        ended = false;
    }

    void onRequest() {
        waiting = true;
    }

    void onEnd() {
        waiting = false;
        ended = true;
    }

    /** From now on, a response to another request closes the connection. */
    void stopDroppingForeignResponses() {
        droppingForeignResponses = false;
    }
}
