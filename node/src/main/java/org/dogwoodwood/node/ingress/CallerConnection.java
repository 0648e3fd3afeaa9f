package org.dogwoodwood.node.ingress;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Objects;
import org.dogwoodwood.core.DogwoodwoodException;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.core.connections.ConnectionBudget;
import org.dogwoodwood.core.connections.ConnectionLimits;
import org.dogwoodwood.node.logging.EventLog;
import org.dogwoodwood.node.logging.LogEvent;

/** Accounts for what the connection of one caller holds; used on the traffic loop only. */
final class CallerConnection {

    /** Limits the requests of one connection that are decoded and not answered. */
    static final int MAX_UNANSWERED = 17;

    // Lines are accounted for in groups, since most heads have fewer.
    private static final int LINES_PER_UPDATE = 32;

    // The fields of a whole request are copied for its call and for the request to its target.
    private static final int COPIES = 3;

    private final ConnectionBudget<Channel> budget;
    private final Channel channel;
    private final EventLog log;
    private final Deque<Long> unanswered = new ArrayDeque<>();
    private Runnable onAnswered = () -> {};
    private long unansweredBytes;
    private long longestHeadBytes;
    private long headBytes;
    private long unreadBytes;
    private int lines;

    private CallerConnection(ConnectionBudget<Channel> budget, Channel channel, EventLog log) {
        this.budget = Objects.requireNonNull(budget, "budget");
        this.channel = Objects.requireNonNull(channel, "channel");
        this.log = Objects.requireNonNull(log, "log");
    }

    /** Adds a connection to the budget; it may be closed at once if there is no room for it. */
    static CallerConnection open(ConnectionBudget<Channel> budget, Channel channel, EventLog log) {
        CallerConnection connection = new CallerConnection(budget, channel, log);
        connection.closeAll(budget.open(channel));
        return connection;
    }

    /** Accounts for the head that an HTTP/2 connection may be reading at any time. */
    void reserveHead(int maxHeadBytes) {
        longestHeadBytes = maxHeadBytes;
        if (!isWithinBudget()) {
            channel.close().addListener(ChannelFutureListener.FIRE_EXCEPTION_ON_FAILURE);
        }
    }

    /** Sets what is called after each answer. */
    void setAnswerListener(Runnable listener) {
        onAnswered = listener;
    }

    /** Returns whether no more requests may be decoded until one has been answered. */
    boolean isFull() {
        return unanswered.size() >= MAX_UNANSWERED;
    }

    /**
     * Records a line of a head or of trailers.
     *
     * @throws DogwoodwoodException if there is no memory for it
     */
    void onLine() {
        lines++;
        if (lines % LINES_PER_UPDATE == 0) {
            if (!isWithinBudget()) {
                throw overloaded();
            }
        }
    }

    /** Records bytes that belong to an incomplete head or to the framing of a body. */
    void onHeadBytes(long bytes) {
        headBytes += bytes;
        longestHeadBytes = Math.max(longestHeadBytes, headBytes);
    }

    /** Returns the size of the incomplete head, with the empty lines before it, in bytes. */
    long headBytes() {
        return headBytes;
    }

    /** Records that nothing is kept of the framing that was read. */
    void onFramingDone() {
        headBytes = 0;
        lines = 0;
    }

    /**
     * Records a whole head, whose request is kept until it is answered.
     *
     * @return whether there is memory for the request; if not, it must be refused
     */
    boolean onHead() {
        budget.onBusy(channel);
        long kept =
                ConnectionLimits.REQUEST_BYTES
                        + COPIES * (headBytes + (long) lines * ConnectionLimits.LINE_BYTES);
        unanswered.add(kept);
        unansweredBytes += kept;
        onFramingDone();
        return isWithinBudget();
    }

    /**
     * Records what has arrived and was not decoded.
     *
     * @return whether the connection may stay open
     */
    boolean onUnread(long bytes) {
        unreadBytes = bytes;
        return isWithinBudget();
    }

    /** Records that the oldest request was answered. */
    void onAnswered() {
        Long kept = unanswered.poll();
        if (kept != null) {
            unansweredBytes -= kept;
        }
        isWithinBudget();
        if (unanswered.isEmpty()) {
            budget.onIdle(channel);
        }
        onAnswered.run();
    }

    /** Records that the connection is closed. */
    void onClosed() {
        budget.close(channel);
    }

    /** Returns the failure of a request for whose head there is no memory. */
    static DogwoodwoodException overloaded() {
        return new DogwoodwoodException(
                ErrorCode.OVERLOADED, "The memory for the heads of requests is used up.");
    }

    private boolean isWithinBudget() {
        List<Channel> closing = budget.hold(channel, heldBytes());
        boolean refused = closing.contains(channel);
        closeAll(closing.stream().filter(other -> other != channel).toList());
        return !refused;
    }

    private long heldBytes() {
        return ConnectionLimits.CONNECTION_BYTES
                + longestHeadBytes
                + unreadBytes
                + (long) lines * ConnectionLimits.LINE_BYTES
                + unansweredBytes;
    }

    private void closeAll(List<Channel> closing) {
        for (Channel other : closing) {
            log.write(
                    LogEvent.CALLER_DISPLACED,
                    "caller",
                    other.remoteAddress(),
                    "connections",
                    budget.connections(),
                    "held",
                    budget.heldBytes());
            other.close().addListener(ChannelFutureListener.FIRE_EXCEPTION_ON_FAILURE);
        }
    }
}
