package org.dogwoodwood.node.ingress;

import io.netty.channel.Channel;
import io.vertx.core.http.HttpConnection;
import java.util.IdentityHashMap;
import java.util.Objects;
import org.dogwoodwood.core.connections.ConnectionBudget;
import org.dogwoodwood.core.connections.ConnectionLimits;
import org.dogwoodwood.node.logging.EventLog;
import org.dogwoodwood.node.memory.AcceptLimit;
import org.dogwoodwood.node.metrics.NodeMetrics;

/** The open connections of all callers and their common budget; used on the traffic loop only. */
final class CallerConnections {

    private final ConnectionLimits limits;
    private final ConnectionBudget<Channel> budget;
    private final IdentityHashMap<HttpConnection, CallerConnection> open = new IdentityHashMap<>();
    private final EventLog log;

    private CallerConnections(ConnectionLimits limits, EventLog log) {
        this.limits = Objects.requireNonNull(limits, "limits");
        this.budget = ConnectionBudget.of(limits);
        this.log = Objects.requireNonNull(log, "log");
    }

    static CallerConnections create(ConnectionLimits limits, EventLog log) {
        return new CallerConnections(limits, log);
    }

    /** Returns these connections after adding their gauges. */
    CallerConnections withGauges(NodeMetrics metrics) {
        metrics.addGauge("dogwoodwood_caller_connections", budget::connections);
        metrics.addGauge("dogwoodwood_caller_connection_bytes", budget::heldBytes);
        return this;
    }

    /** Returns a limit for a port whose connections are added. */
    AcceptLimit newAcceptLimit() {
        return AcceptLimit.of(limits.maxConnections());
    }

    /** Adds a connection; it may be closed at once if there is no room for it. */
    CallerConnection add(HttpConnection connection, AcceptLimit port) {
        Channel channel = StrictFraming.channelOf(connection);
        port.onOpened(channel);
        CallerConnection caller = CallerConnection.open(budget, channel, log);
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
