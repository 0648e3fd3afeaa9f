package org.dogwoodwood.node.peer;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import org.dogwoodwood.codec.wire.CallFrame;
import org.dogwoodwood.codec.wire.HelloFrame;
import org.dogwoodwood.core.model.NodeId;

/** An attempt that was passed to a channel and has not been answered. */
final class PendingAttempt {

    private final NodeId guard;
    private final CallFrame frame;
    private final long createdNanos = System.nanoTime();
    private final Promise<AttemptAnswer> promise = Promise.promise();
    private boolean written;

    PendingAttempt(NodeId guard, CallFrame frame) {
        this.guard = guard;
        this.frame = frame;
    }

    CallFrame frame() {
        return frame;
    }

    /** Returns the frame with its remaining time reduced by the wait for the connection. */
    CallFrame frameToSend() {
        return frame.withElapsedTime(System.nanoTime() - createdNanos);
    }

    Future<AttemptAnswer> future() {
        return promise.future();
    }

    /** Returns whether the frame may have reached the guard, so that the call may have run. */
    boolean isWritten() {
        return written;
    }

    void markWritten() {
        written = true;
    }

    /** Returns whether HELLO comes from the node and incarnation that the attempt is meant for. */
    boolean isAddressedTo(HelloFrame hello) {
        return hello.node().equals(guard) && hello.incarnation() == frame.expectedIncarnation();
    }

    void complete(AttemptAnswer answer) {
        promise.tryComplete(answer);
    }
}
