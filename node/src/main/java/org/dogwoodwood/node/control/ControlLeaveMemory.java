package org.dogwoodwood.node.control;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.function.Consumer;
import org.dogwoodwood.core.DogwoodwoodException;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.core.membership.TargetLeave;

/** The leaves that the control plane of a node records and learns. */
public final class ControlLeaveMemory implements TargetLeaveMemory {

    /** The context and the recorder of a control plane that has started. */
    private record Connection(Context context, TargetLeaveRecorder recorder) {}

    private final Promise<Void> known = Promise.promise();
    private volatile Connection connection;
    private volatile Consumer<TargetLeave> listener = leave -> {};

    private ControlLeaveMemory() {}

    /** Returns a memory that knows nothing until the control plane has started. */
    public static ControlLeaveMemory create() {
        return new ControlLeaveMemory();
    }

    @Override
    public Future<Void> record(TargetLeave leave) {
        Connection current = connection;
        if (current == null) {
            return Future.failedFuture(
                    new DogwoodwoodException(
                            ErrorCode.NO_CONFIGURATION, "This node has not started yet."));
        }
        Promise<Void> promise = Promise.promise();
        current.context.runOnContext(ignored -> current.recorder.record(leave).onComplete(promise));
        return promise.future();
    }

    @Override
    public void setListener(Consumer<TargetLeave> newListener) {
        listener = newListener;
    }

    @Override
    public Future<Void> earlierLeavesKnown() {
        return known.future();
    }

    /** Connects the started control plane; called on its thread. */
    void connect(Context context, TargetLeaveRecorder recorder) {
        connection = new Connection(context, recorder);
    }

    /** Handles a leave that an earlier process of this node recorded. */
    void onLeave(TargetLeave leave) {
        listener.accept(leave);
    }

    /** Ends the wait for earlier leaves. */
    void onAsked(boolean answered) {
        if (answered) {
            known.tryComplete();
        } else {
            known.tryFail("Neither the log nor a peer could be asked.");
        }
    }
}
