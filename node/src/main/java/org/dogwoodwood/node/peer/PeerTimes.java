package org.dogwoodwood.node.peer;

/**
 * The times by which connections are judged.
 *
 * @param pingMillis the time between two pings while calls are under way, in milliseconds
 * @param idlePings how many such times lie between two pings while no call is under way
 * @param missedPings unanswered pings after which a connection is silent
 * @param connectMillis the longest time for connecting and for HELLO, in milliseconds
 * @param idleMillis how long a connection without calls is kept, in milliseconds
 */
public record PeerTimes(
        int pingMillis, int idlePings, int missedPings, int connectMillis, int idleMillis) {

    /** The times of the design: silent after 3 pings, 200 ms apart; every 2 s when idle. */
    public static final PeerTimes DEFAULT = new PeerTimes(200, 10, 3, 500, 10_000);

    /** Returns how long a server keeps a connection on which nothing arrives, in milliseconds. */
    int serverSilenceMillis() {
        return pingMillis * (2 * idlePings + missedPings);
    }
}
