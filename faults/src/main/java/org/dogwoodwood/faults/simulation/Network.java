package org.dogwoodwood.faults.simulation;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.dogwoodwood.core.model.NodeId;

/** A simulated network between nodes, with silent connections, message loss and partitions. */
public final class Network {

    private static final long LOCAL_LATENCY_NANOS = 250_000;
    private static final long REMOTE_LATENCY_NANOS = 1_000_000;

    /** Identifies the connection that one node opened to another. */
    private record ConnectionKey(NodeId opener, NodeId acceptor) {}

    private static final class Connection {
        private long epoch;
        private boolean silentForward;
        private boolean silentBackward;
    }

    private final EventLoop loop;
    private final Map<NodeId, String> dataCentres = new HashMap<>();
    private final Map<ConnectionKey, Connection> connections = new HashMap<>();
    private final Set<String> isolated = new HashSet<>();
    private int messagesToDrop;
    private int answersToDuplicate;
    private long extraAnswerDelayNanos;
    private int answersToDelay;

    /** Creates a network without faults. */
    public Network(EventLoop loop) {
        this.loop = loop;
    }

    /** Sets the data centre of a node. */
    public void setDataCentre(NodeId node, String dataCentre) {
        dataCentres.put(node, dataCentre);
    }

    /** Returns the data centre of a node. */
    public String dataCentreOf(NodeId node) {
        return dataCentres.get(node);
    }

    /** Sets whether a data centre is partitioned from all others. */
    public void setIsolated(String dataCentre, boolean value) {
        if (value) {
            isolated.add(dataCentre);
        } else {
            isolated.remove(dataCentre);
        }
    }

    /** Returns whether a data centre is partitioned from all others. */
    public boolean isIsolated(String dataCentre) {
        return isolated.contains(dataCentre);
    }

    /**
     * Silences the current connections between two nodes until they are reconnected. Messages from
     * {@code b} to {@code a} are dropped, and those from {@code a} to {@code b} as well if {@code
     * bothDirections} is set.
     */
    public void silenceConnections(NodeId a, NodeId b, boolean bothDirections) {
        connection(a, b).silentBackward = true;
        connection(a, b).silentForward |= bothDirections;
        connection(b, a).silentForward = true;
        connection(b, a).silentBackward |= bothDirections;
    }

    /** Drops the given number of messages from now on. */
    public void dropNextMessages(int messages) {
        messagesToDrop += messages;
    }

    /** Delivers the given number of answers twice from now on. */
    public void duplicateNextAnswers(int answers) {
        answersToDuplicate += answers;
    }

    /** Delays the given number of answers from now on, so that later ones overtake them. */
    public void delayNextAnswers(int answers, long nanos) {
        answersToDelay = answers;
        extraAnswerDelayNanos = nanos;
    }

    /** Returns how often the connection that one node opened to another was reopened. */
    public long epoch(NodeId opener, NodeId acceptor) {
        return connection(opener, acceptor).epoch;
    }

    /** Closes a connection and opens a new one. */
    public void reconnect(NodeId opener, NodeId acceptor) {
        Connection connection = connection(opener, acceptor);
        connection.epoch++;
        connection.silentForward = false;
        connection.silentBackward = false;
    }

    /** Returns the round-trip time between two nodes, in nanoseconds. */
    public long roundTripNanos(NodeId a, NodeId b) {
        return a.equals(b) ? 0 : 2 * latencyNanos(a, b);
    }

    /** Sends a message on the connection that the sender opened to the receiver. */
    public void send(NodeId opener, NodeId acceptor, Runnable delivery) {
        if (opener.equals(acceptor)) {
            loop.schedule(0, delivery);
            return;
        }
        if (connection(opener, acceptor).silentForward
                || isPartitioned(opener, acceptor)
                || dropsNextMessage()) {
            return;
        }
        loop.schedule(
                latencyNanos(opener, acceptor),
                () -> {
                    if (!isPartitioned(opener, acceptor)) {
                        delivery.run();
                    }
                });
    }

    /**
     * Sends a message back on the connection that the receiver opened; it is dropped if that
     * connection was closed in the meantime.
     *
     * @param epoch the epoch of the connection when the message to reply to was sent
     */
    public void reply(NodeId acceptor, NodeId opener, long epoch, Runnable delivery) {
        if (opener.equals(acceptor)) {
            loop.schedule(0, delivery);
            return;
        }
        Connection connection = connection(opener, acceptor);
        boolean open = connection.epoch == epoch;
        if (!open
                || connection.silentBackward
                || isPartitioned(opener, acceptor)
                || dropsNextMessage()) {
            return;
        }
        loop.schedule(
                latencyNanos(opener, acceptor),
                () -> {
                    if (connection.epoch == epoch && !isPartitioned(opener, acceptor)) {
                        delivery.run();
                    }
                });
    }

    /** Sends the answer to a call back, which may be delayed or duplicated. */
    public void replyAnswer(NodeId acceptor, NodeId opener, long epoch, Runnable delivery) {
        long delay = 0;
        if (answersToDelay > 0) {
            answersToDelay--;
            delay = extraAnswerDelayNanos;
        }
        loop.schedule(delay, () -> reply(acceptor, opener, epoch, delivery));
        if (answersToDuplicate > 0) {
            answersToDuplicate--;
            loop.schedule(
                    delay + EventLoop.MILLISECOND, () -> reply(acceptor, opener, epoch, delivery));
        }
    }

    /** Returns whether a message is to be dropped, and counts it. */
    private boolean dropsNextMessage() {
        if (messagesToDrop == 0) {
            return false;
        }
        messagesToDrop--;
        return true;
    }

    private boolean isPartitioned(NodeId a, NodeId b) {
        String first = dataCentres.get(a);
        String second = dataCentres.get(b);
        return !first.equals(second) && (isolated.contains(first) || isolated.contains(second));
    }

    private long latencyNanos(NodeId a, NodeId b) {
        return dataCentres.get(a).equals(dataCentres.get(b))
                ? LOCAL_LATENCY_NANOS
                : REMOTE_LATENCY_NANOS;
    }

    private Connection connection(NodeId opener, NodeId acceptor) {
        return connections.computeIfAbsent(
                new ConnectionKey(opener, acceptor), any -> new Connection());
    }
}
