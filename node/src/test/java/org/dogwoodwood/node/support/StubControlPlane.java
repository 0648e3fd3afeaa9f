package org.dogwoodwood.node.support;

import io.vertx.core.Future;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;
import org.dogwoodwood.core.health.TrialCrash;
import org.dogwoodwood.core.membership.MemberTarget;
import org.dogwoodwood.core.model.TargetState;
import org.dogwoodwood.core.routing.RoutingTable;
import org.dogwoodwood.node.control.ControlPlane;

/** A control plane whose routing table the test sets. */
public final class StubControlPlane implements ControlPlane {

    private final List<Set<Long>> crashes = new CopyOnWriteArrayList<>();
    private final Set<Long> cleared = ConcurrentHashMap.newKeySet();
    private final List<TargetState> announcements = new CopyOnWriteArrayList<>();
    private volatile RoutingTable table = RoutingTable.empty();
    private volatile Future<Void> start = Future.succeededFuture();
    private volatile boolean leaving;
    private volatile LoopBlock block = LoopBlock.none();

    @Override
    public Future<Void> start() {
        return start;
    }

    /** Sets what the start of this control plane waits for. */
    public void setStart(Future<Void> future) {
        start = future;
    }

    @Override
    public Future<Void> stop() {
        return Future.succeededFuture();
    }

    @Override
    public RoutingTable routingTable() {
        block.awaitRelease();
        return table;
    }

    @Override
    public void onRoutingTable(Consumer<RoutingTable> listener) {
        listener.accept(table);
    }

    @Override
    public void announceTarget(MemberTarget target) {
        announcements.add(target.state());
    }

    @Override
    public Future<Void> announceLeaving() {
        leaving = true;
        return Future.succeededFuture();
    }

    @Override
    public void reportCrash(Set<Long> inFlight, Optional<TrialCrash> tried) {
        crashes.add(inFlight);
    }

    @Override
    public void reportAnswered(long fingerprint, long ageNanos) {
        cleared.add(fingerprint);
    }

    @Override
    public boolean isReady() {
        return !table.targetsByService().isEmpty();
    }

    /**
     * Blocks the traffic loop of the node, which reads the routing table every tenth of a second;
     * returns when the loop is blocked.
     */
    public void blockLoop() {
        block = new LoopBlock(new CountDownLatch(1), new CountDownLatch(1));
        Waiting.until("the loop is blocked", () -> block.entered.getCount() == 0);
    }

    /** Releases the traffic loop. */
    public void releaseLoop() {
        block.release.countDown();
    }

    /** Replaces the routing table. */
    public void setRoutingTable(RoutingTable next) {
        table = next;
    }

    /** Returns the fingerprints of each reported crash. */
    public List<Set<Long>> crashes() {
        return crashes;
    }

    /** Returns the fingerprints of suspect requests that were reported as answered. */
    public Set<Long> cleared() {
        return cleared;
    }

    /** Returns the announced states of the target, in order. */
    public List<TargetState> announcements() {
        return announcements;
    }

    /** Returns whether the node has announced that it is leaving. */
    public boolean isLeaving() {
        return leaving;
    }

    private record LoopBlock(CountDownLatch entered, CountDownLatch release) {

        static LoopBlock none() {
            return new LoopBlock(new CountDownLatch(0), new CountDownLatch(0));
        }

        void awaitRelease() {
            entered.countDown();
            try {
                release.await();
            } catch (InterruptedException e) {
                throw new AssertionError(e);
            }
        }
    }
}
