package org.dogwoodwood.node.control;

import io.vertx.core.Future;
import java.util.function.Consumer;
import org.dogwoodwood.core.membership.TargetLeave;

/**
 * What is known of the leaves of this node's targets beyond the life of its process. May be used on
 * any thread.
 */
public interface TargetLeaveMemory {

    /**
     * Records a leave on the log and with a peer, or with one of them if the other is away.
     *
     * @return completes when the next process of this node will know the leave; fails if neither
     *     the log nor a peer has it in time
     */
    Future<Void> record(TargetLeave leave);

    /**
     * Sets the listener for leaves that earlier processes of this node recorded; called once for
     * each, on any thread.
     */
    void setListener(Consumer<TargetLeave> listener);

    /**
     * Returns a future that completes when the listener has got all leaves that the log or the
     * peers know; fails if neither could be asked in time.
     */
    Future<Void> earlierLeavesKnown();
}
