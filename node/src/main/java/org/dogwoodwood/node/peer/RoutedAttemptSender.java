package org.dogwoodwood.node.peer;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.Objects;
import java.util.function.Consumer;
import org.dogwoodwood.codec.wire.CallFrame;
import org.dogwoodwood.core.calls.AttemptId;
import org.dogwoodwood.core.model.LoadReport;
import org.dogwoodwood.core.model.NodeId;
import org.dogwoodwood.core.routing.RouteTarget;

/** Passes attempts for this node's own target directly to its guard and sends others to peers. */
public final class RoutedAttemptSender implements AttemptSender {

    private final NodeId self;
    private final CallHandler guard;
    private final AttemptSender remote;
    private final Consumer<LoadReport> reportListener;

    private RoutedAttemptSender(
            NodeId self,
            CallHandler guard,
            AttemptSender remote,
            Consumer<LoadReport> reportListener) {
        this.self = Objects.requireNonNull(self, "self");
        this.guard = Objects.requireNonNull(guard, "guard");
        this.remote = Objects.requireNonNull(remote, "remote");
        this.reportListener = Objects.requireNonNull(reportListener, "reportListener");
    }

    /**
     * Returns a sender for the ingress of the given node.
     *
     * @param reportListener receives the requested load reports of the node's own guard, not null
     */
    public static RoutedAttemptSender create(
            NodeId self,
            CallHandler guard,
            AttemptSender remote,
            Consumer<LoadReport> reportListener) {
        return new RoutedAttemptSender(self, guard, remote, reportListener);
    }

    @Override
    public Future<AttemptAnswer> send(RouteTarget target, CallFrame frame) {
        if (!target.node().equals(self)) {
            return remote.send(target, frame);
        }
        Promise<AttemptAnswer> promise = Promise.promise();
        guard.onCall(frame, promise::tryComplete);
        return promise.future();
    }

    @Override
    public void cancel(RouteTarget target, AttemptId id) {
        if (target.node().equals(self)) {
            guard.onCancel(id);
        } else {
            remote.cancel(target, id);
        }
    }

    @Override
    public void requestReport(RouteTarget target) {
        if (target.node().equals(self)) {
            guard.report().ifPresent(reportListener);
        } else {
            remote.requestReport(target);
        }
    }

    @Override
    public long roundTripNanos(RouteTarget target) {
        return target.node().equals(self) ? 0 : remote.roundTripNanos(target);
    }
}
