package org.dogwoodwood.node.peer;

/**
 * The ping intervals and timeouts of peer connections.
 *
 * @param pingIntervalMillis the time between two pings while calls are pending, in milliseconds
 * @param idlePingInterval the time between two pings while no call is pending, as a multiple of
 *     {@code pingIntervalMillis}
 * @param maxMissedPings the number of unanswered pings after which a connection is closed as silent
 * @param connectTimeoutMillis the timeout for connecting; HELLO must arrive within twice this time
 *     of the connect attempt, in milliseconds
 * @param idleTimeoutMillis how long an unused connection is kept open, in milliseconds
 * @param remoteIdleTimeoutMillis how long a connection to another data centre that has carried no
 *     call within {@code idleTimeoutMillis} is kept open, in milliseconds; ends before the first
 *     idle ping, since opening it again costs fewer bytes than pings
 */
public record PeerTimings(
        int pingIntervalMillis,
        int idlePingInterval,
        int maxMissedPings,
        int connectTimeoutMillis,
        int idleTimeoutMillis,
        int remoteIdleTimeoutMillis) {

    /** Default timings: a ping every 200 ms, every 2 s when idle; silent after 3 missed pings. */
    public static final PeerTimings DEFAULT = new PeerTimings(200, 10, 3, 500, 10_000, 1_000);

    /** Creates timings that do not distinguish connections to other data centres. */
    public PeerTimings(
            int pingIntervalMillis,
            int idlePingInterval,
            int maxMissedPings,
            int connectTimeoutMillis,
            int idleTimeoutMillis) {
        this(
                pingIntervalMillis,
                idlePingInterval,
                maxMissedPings,
                connectTimeoutMillis,
                idleTimeoutMillis,
                idleTimeoutMillis);
    }

    /** Returns how long a server keeps a connection without input open, in milliseconds. */
    int serverTimeoutMillis() {
        return pingIntervalMillis * (2 * idlePingInterval + maxMissedPings);
    }
}
