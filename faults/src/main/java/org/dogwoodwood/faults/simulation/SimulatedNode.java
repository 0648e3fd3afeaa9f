package org.dogwoodwood.faults.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import org.dogwoodwood.core.idempotency.MemberView.RegisteredMember;
import org.dogwoodwood.core.model.NodeId;

/** The process of a node: control, guard and ingress, which stop and pause together. */
public final class SimulatedNode {

    private static final long TIMEOUT_NANOS = 400 * EventLoop.MILLISECOND;
    private static final long LEAVE_CHECK_INTERVAL_NANOS = 20 * EventLoop.MILLISECOND;
    private static final long LEAVE_LIMIT_NANOS = 3 * EventLoop.SECOND;

    private final SimulatedCluster cluster;
    private final RegisteredMember identity;
    private final String dataCentre;
    private final SimulatedControl control;
    private final SimulatedGuard guard;
    private final SimulatedIngress ingress;
    private final List<Runnable> deferred = new ArrayList<>();
    private boolean alive = true;
    private boolean paused;
    private boolean leaving;

    SimulatedNode(SimulatedCluster cluster, NodeId id, long incarnation, String dataCentre) {
        this.cluster = cluster;
        this.identity = new RegisteredMember(id, incarnation);
        this.dataCentre = dataCentre;
        this.control = new SimulatedControl(this, cluster);
        this.guard = new SimulatedGuard(this, cluster.target(id), cluster.policies());
        this.ingress = new SimulatedIngress(this, cluster);
    }

    void start() {
        cluster.journal().add(new Event.NodeStarted(loop().now(), id(), incarnation()));
        control.start();
        guard.start();
        ingress.start();
    }

    /** Kills the process; tasks that it has scheduled do not run. */
    public void crash() {
        if (alive) {
            alive = false;
            deferred.clear();
            cluster.journal().add(new Event.NodeStopped(loop().now(), id()));
        }
    }

    /**
     * Suspends the process for a while, as SIGSTOP does; its tasks are deferred until it resumes.
     */
    public void pause(long nanos) {
        if (paused || !alive) {
            return;
        }
        paused = true;
        loop().schedule(
                        nanos,
                        () -> {
                            paused = false;
                            List<Runnable> tasks = List.copyOf(deferred);
                            deferred.clear();
                            tasks.forEach(this::execute);
                        });
    }

    /** Starts a graceful shutdown; {@code onStopped} is called when the process has ended. */
    public void leave(Runnable onStopped) {
        if (leaving || !alive) {
            return;
        }
        leaving = true;
        cluster.journal().add(new Event.LeavingStarted(loop().now(), id()));
        guard.leave();
        control.leave();
        cluster.reportStep(StepContext.ofNode(Step.LEAVING, id()));
        long deadlineNanos = loop().now() + LEAVE_LIMIT_NANOS;
        schedule(LEAVE_CHECK_INTERVAL_NANOS, () -> finishLeaving(deadlineNanos, onStopped));
    }

    private void finishLeaving(long deadlineNanos, Runnable onStopped) {
        boolean hasOpenRequests =
                cluster.policies().mustWaitFor(guard.inFlight() + ingress.openCalls());
        boolean handingOver =
                !control.isHandoverComplete()
                        && loop().now() < deadlineNanos
                        && cluster.policies().mustWaitFor(1);
        if (hasOpenRequests || handingOver) {
            schedule(LEAVE_CHECK_INTERVAL_NANOS, () -> finishLeaving(deadlineNanos, onStopped));
            return;
        }
        cluster.journal()
                .add(
                        new Event.LeavingEnded(
                                loop().now(), id(), guard.inFlight() + ingress.openCalls()));
        crash();
        cluster.target(id()).shutDown();
        onStopped.run();
    }

    /** Returns the id of the node. */
    public NodeId id() {
        return identity.node();
    }

    /** Returns the incarnation of the process. */
    public long incarnation() {
        return identity.incarnation();
    }

    /** Returns the data centre of the node. */
    public String dataCentre() {
        return dataCentre;
    }

    /** Returns whether the process exists, paused or not. */
    public boolean isAlive() {
        return alive;
    }

    /** Returns whether callers may send requests to this node. */
    public boolean acceptsRequests() {
        return alive && !leaving && control.isReady();
    }

    /** Returns the control component of the node. */
    public SimulatedControl control() {
        return control;
    }

    RegisteredMember identity() {
        return identity;
    }

    SimulatedGuard guard() {
        return guard;
    }

    SimulatedIngress ingress() {
        return ingress;
    }

    EventLoop loop() {
        return cluster.loop();
    }

    boolean isLeaving() {
        return leaving;
    }

    /** Runs a task now, or after the pause; drops it if the process has ended. */
    void execute(Runnable task) {
        if (!alive) {
            return;
        }
        if (paused) {
            deferred.add(task);
            return;
        }
        task.run();
    }

    void schedule(long delayNanos, Runnable task) {
        loop().schedule(delayNanos, () -> execute(task));
    }

    void reportStep(Step step, CallMessage message) {
        cluster.reportStep(
                StepContext.ofCall(step, message.call().id().ingress(), id(), message.request()));
    }

    /**
     * Calls another node. If no reply arrives within 400 ms, the connection is reopened and {@code
     * onTimeout} is called.
     */
    <T> void call(
            NodeId peer,
            Function<SimulatedNode, T> remote,
            Consumer<T> onReply,
            Runnable onTimeout) {
        Network network = cluster.network();
        long epoch = network.epoch(id(), peer);
        boolean[] replied = new boolean[1];
        network.send(
                id(),
                peer,
                () -> {
                    Optional<SimulatedNode> receiver = cluster.node(peer);
                    receiver.ifPresent(
                            node ->
                                    node.execute(
                                            () -> {
                                                T reply = remote.apply(node);
                                                network.reply(
                                                        peer,
                                                        id(),
                                                        epoch,
                                                        () ->
                                                                execute(
                                                                        () -> {
                                                                            replied[0] = true;
                                                                            onReply.accept(reply);
                                                                        }));
                                            }));
                });
        schedule(
                TIMEOUT_NANOS,
                () -> {
                    if (!replied[0]) {
                        if (network.epoch(id(), peer) == epoch) {
                            network.reconnect(id(), peer);
                        }
                        onTimeout.run();
                    }
                });
    }
}
