package org.dogwoodwood.node.peer;

/**
 * Decides when a connection is pinged and when it is silent, in ticks of the ping interval. Not
 * thread-safe.
 */
final class PingSchedule {

    /** What is to be done at a tick. */
    enum Action {
        /** Nothing. */
        WAIT,
        /** Send a ping. */
        PING,
        /** Close the connection, since it answers no pings. */
        CLOSE
    }

    private final PeerTimings timings;
    private int ticksSincePing;
    private int missedPings;
    private boolean pingPending;
    private boolean sentSincePing;
    private boolean receivedSinceSent;

    private PingSchedule(PeerTimings timings) {
        this.timings = timings;
    }

    /** Returns the schedule of a connection that has just been opened. */
    static PingSchedule create(PeerTimings timings) {
        return new PingSchedule(timings);
    }

    /** A frame other than a ping has been sent. */
    void onSent() {
        sentSincePing = true;
    }

    /** A ping has been sent. */
    void onPing() {
        startInterval();
        pingPending = true;
    }

    /** Returns the number of pings in a row that were not answered. */
    int missedPings() {
        return missedPings;
    }

    /**
     * Returns what is to be done; must be called once per ping interval.
     *
     * @param received whether any byte has arrived since the last tick
     * @param busy whether something is pending, so that a silent connection must be detected soon
     */
    Action tick(boolean received, boolean busy) {
        ticksSincePing++;
        if (received) {
            missedPings = 0;
            pingPending = false;
            receivedSinceSent = sentSincePing;
        } else if (pingPending) {
            // Each tick counts at most one missed ping, so that a pause of this process does not
            // close connections whose pongs wait in the socket.
            missedPings++;
        }
        if (missedPings >= timings.maxMissedPings()) {
            return Action.CLOSE;
        }
        // No extra ping if bytes have arrived, since they show that the connection works.
        boolean extra = pingPending || (busy && !received);
        return extra || isIdlePingDue() ? Action.PING : Action.WAIT;
    }

    private boolean isIdlePingDue() {
        if (ticksSincePing < timings.idlePingInterval()) {
            return false;
        }
        if (receivedSinceSent) {
            // Frames have passed in both directions, so that the peer, too, sees a live connection.
            startInterval();
            return false;
        }
        return true;
    }

    private void startInterval() {
        ticksSincePing = 0;
        sentSincePing = false;
        receivedSinceSent = false;
    }
}
