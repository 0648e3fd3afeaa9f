package org.dogwoodwood.node.ingress;

import io.netty.channel.Channel;
import io.vertx.core.http.HttpConnection;
import java.util.IdentityHashMap;
import java.util.Objects;
import org.dogwoodwood.core.connections.ConnectionBudget;
import org.dogwoodwood.core.connections.ConnectionLimits;
import org.dogwoodwood.node.logging.EventLog;
import org.dogwoodwood.node.metrics.NodeMetrics;

/** The open connections of all callers and their common budget; used on the traffic loop only. */
final class CallerConnections {

    private final ConnectionBudget<Channel> budget;
    private final IdentityHashMap<HttpConnection, CallerConnection> open = new IdentityHashMap<>();
    private final EventLog log;

    private CallerConnections(ConnectionBudget<Channel> budget, EventLog log) {
        this.budget = budget;
        this.log = Objects.requireNonNull(log, "log");
    }

    static CallerConnections create(ConnectionLimits limits, EventLog log) {
        return new CallerConnections(ConnectionBudget.of(limits), log);
    }

    /** Returns these connections after adding their gauges. */
    CallerConnections withGauges(NodeMetrics metrics) {
        metrics.addGauge("dogwoodwood_caller_connections", budget::connections);
        metrics.addGauge("dogwoodwood_caller_connection_bytes", budget::heldBytes);
        return this;
    }

    /** Adds a connection; it may be closed at once if there is no room for it. */
    CallerConnection add(HttpConnection connection) {
        CallerConnection caller =
                CallerConnection.open(budget, StrictFraming.channelOf(connection), log);
        open.put(connection, caller);
        return caller;
    }

    /** Returns an open connection, or null if it is closed. */
    CallerConnection get(HttpConnection connection) {
        return open.get(connection);
    }

    void remove(HttpConnection connection) {
        CallerConnection caller = open.remove(connection);
        if (caller != null) {
            caller.onClosed();
        }
    }
}
