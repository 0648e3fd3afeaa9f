package org.dogwoodwood.node.control;

import io.vertx.core.Future;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongConsumer;
import org.dogwoodwood.codec.wire.ControlFrame;

/**
 * The records of the log stream {@code membership} and the control frames between its readers.
 * Listeners are called on the control thread and must be added before the control plane starts.
 */
public interface MembershipLog {

    /** Adds a listener that receives the records, in log order. */
    void onMembershipEntry(Consumer<LogEntry> listener);

    /**
     * Adds a listener of reads that reached the end of the stream. It receives the time at which
     * the read was sent, in nanoseconds of the monotonic clock.
     */
    void onMembershipEndReached(LongConsumer listener);

    /** Adds a listener that receives the first retained offset when unread records have expired. */
    void onMembershipExpired(LongConsumer listener);

    /**
     * Sets the handler of the request frames of a type, such as KEY_HANDOVER.
     *
     * @param type the type of the request frame
     * @param handler returns the reply; called on the control thread
     */
    void setFrameHandler(int type, Function<ControlFrame, Future<ControlFrame>> handler);
}
