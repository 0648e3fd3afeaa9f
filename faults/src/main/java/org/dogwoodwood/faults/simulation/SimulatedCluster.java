package org.dogwoodwood.faults.simulation;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.dogwoodwood.core.idempotency.KeyLimits;
import org.dogwoodwood.core.membership.DataCentreOrder;
import org.dogwoodwood.core.model.NodeId;
import org.dogwoodwood.faults.simulation.Event.Disruption;

/** A simulated cluster on a virtual clock, with one service and nodes in several data centres. */
public final class SimulatedCluster {

    public static final String SERVICE = "outings";
    public static final long KEY_WINDOW_NANOS = 6 * EventLoop.SECOND;
    public static final long KEY_LEASE_NANOS = 1_500 * EventLoop.MILLISECOND;

    /** How long a log record is valid, in milliseconds by the clock of the log. */
    public static final long RECORD_LIFETIME_MILLIS = 8_000;

    static final KeyLimits KEY_LIMITS = new KeyLimits(10_000, 1 << 20, 1 << 10);

    private static final long RESTART_DELAY_NANOS = 1_200 * EventLoop.MILLISECOND;
    private static final long RETRY_DELAY_NANOS = 400 * EventLoop.MILLISECOND;

    private final EventLoop loop;
    private final Policies policies;
    private final Journal journal = new Journal();
    private final Network network;
    private final PlatformLog log;
    private final Callers callers;
    private final Map<NodeId, SimulatedNode> nodes = new TreeMap<>();
    private final Map<NodeId, SimulatedTarget> targets = new TreeMap<>();
    private final List<Consumer<StepContext>> stepListeners = new ArrayList<>();
    private long publicationCount;

    private SimulatedCluster(long seed, Policies policies) {
        this.loop = EventLoop.create(seed);
        this.policies = policies;
        this.network = new Network(loop);
        this.log = new PlatformLog(loop, journal);
        this.callers = new Callers(this);
    }

    /**
     * Creates a cluster without nodes.
     *
     * @param seed the seed of all randomness
     * @param policies the decisions of the nodes, not null
     */
    public static SimulatedCluster create(long seed, Policies policies) {
        return new SimulatedCluster(seed, policies);
    }

    /** Returns the event loop, which holds the virtual clock. */
    public EventLoop loop() {
        return loop;
    }

    /** Returns the journal of the run. */
    public Journal journal() {
        return journal;
    }

    /** Returns the network. */
    public Network network() {
        return network;
    }

    /** Returns the platform log. */
    public PlatformLog log() {
        return log;
    }

    /** Returns the simulated callers. */
    public Callers callers() {
        return callers;
    }

    Policies policies() {
        return policies;
    }

    /** Adds a listener that is notified of each step at the virtual time at which it is reached. */
    public void addStepListener(Consumer<StepContext> listener) {
        stepListeners.add(listener);
    }

    void reportStep(StepContext context) {
        loop.schedule(0, () -> List.copyOf(stepListeners).forEach(it -> it.accept(context)));
    }

    /** Starts a node and its target on a new VM. */
    public void startNode(String name, String dataCentre) {
        NodeId id = NodeId.of(name);
        network.setDataCentre(id, dataCentre);
        targets.put(id, new SimulatedTarget(id, dataCentre, loop, journal));
        startProcess(id);
    }

    private void startProcess(NodeId id) {
        long incarnation = 1 + loop.now() / EventLoop.MILLISECOND;
        boolean restarted = nodes.containsKey(id);
        SimulatedNode node = new SimulatedNode(this, id, incarnation, network.dataCentreOf(id));
        nodes.put(id, node);
        node.start();
        if (restarted) {
            reportStep(StepContext.ofNode(Step.RESTARTING, id));
        }
    }

    /** Kills the process of a node and starts a new one 1.2 s later; the target keeps running. */
    public void crashNode(NodeId id) {
        SimulatedNode node = nodes.get(id);
        if (!node.isAlive()) {
            return;
        }
        node.crash();
        loop.schedule(EventLoop.MILLISECOND, () -> onConnectionsReset(id));
        loop.schedule(RESTART_DELAY_NANOS, () -> startProcess(id));
    }

    /**
     * Kills the VM of a node, including its target, and replaces it. Unlike a crash of the process,
     * this does not reset the connections of other nodes.
     *
     * @param replacedAfterNanos the delay until the new VM starts, in nanoseconds
     */
    public void loseVm(NodeId id, long replacedAfterNanos) {
        SimulatedNode node = nodes.get(id);
        if (!node.isAlive()) {
            return;
        }
        node.crash();
        targets.get(id).shutDown();
        loop.schedule(EventLoop.MILLISECOND, () -> callers.onIngressClosed(id));
        loop.schedule(replacedAfterNanos, () -> startNode(id.value(), network.dataCentreOf(id)));
    }

    /** Shuts a node down gracefully and replaces its VM 1.2 s after the process has ended. */
    public void replaceNode(NodeId id) {
        nodes.get(id)
                .leave(
                        () -> {
                            loop.schedule(EventLoop.MILLISECOND, () -> onConnectionsReset(id));
                            loop.schedule(
                                    RESTART_DELAY_NANOS,
                                    () -> startNode(id.value(), network.dataCentreOf(id)));
                        });
    }

    private void onConnectionsReset(NodeId id) {
        callers.onIngressClosed(id);
        nodes.values().stream()
                .filter(other -> !other.id().equals(id))
                .forEach(other -> other.execute(() -> other.ingress().onConnectionReset(id)));
    }

    /** Sends an operator's order to a node that is ready, and retries until there is one. */
    public void issueOrder(String dataCentre, boolean out, String orderId) {
        Optional<SimulatedNode> receiver =
                nodes.values().stream().filter(SimulatedNode::acceptsRequests).findFirst();
        if (receiver.isEmpty()) {
            loop.schedule(RETRY_DELAY_NANOS, () -> issueOrder(dataCentre, out, orderId));
            return;
        }
        receiver.get()
                .execute(
                        () -> {
                            journal.add(new Event.DataCentreOrdered(loop.now(), dataCentre, out));
                            DataCentreOrder.State state =
                                    out ? DataCentreOrder.State.OUT : DataCentreOrder.State.IN;
                            receiver.get().control().order(dataCentre, state, orderId);
                        });
    }

    /** Publishes a configuration and retries until the log confirms the append. */
    public void publish(long baseVersion) {
        String id = "publication-" + ++publicationCount;
        NodeId publisher = nodes.keySet().iterator().next();
        reportStep(StepContext.ofNode(Step.PUBLISHING, publisher));
        appendUntilConfirmed(new LogEntry.Publication(id, baseVersion, "document " + id), id);
    }

    private void appendUntilConfirmed(LogEntry.Publication publication, String id) {
        log.append(
                PlatformLog.Stream.CONFIGURATION,
                id,
                publication,
                confirmed -> {
                    if (!confirmed) {
                        loop.schedule(
                                RETRY_DELAY_NANOS, () -> appendUntilConfirmed(publication, id));
                    }
                });
    }

    /**
     * Applies a fault that can delay or prevent the delivery of information to nodes, and reverts
     * it after a while.
     *
     * @param kind the kind of disruption
     * @param scope the node, data centre or mode of the log that is affected
     * @param durationNanos the duration in nanoseconds
     * @param fault applies the fault when passed {@code true} and reverts it when passed {@code
     *     false}
     */
    public void disrupt(
            Disruption kind, String scope, long durationNanos, Consumer<Boolean> fault) {
        journal.add(new Event.DisruptionStarted(loop.now(), kind, scope));
        fault.accept(true);
        loop.schedule(
                durationNanos,
                () -> {
                    fault.accept(false);
                    journal.add(new Event.DisruptionEnded(loop.now(), kind, scope));
                });
    }

    /** Returns the latest process of a node, or empty if none was started. */
    public Optional<SimulatedNode> node(NodeId id) {
        return Optional.ofNullable(nodes.get(id));
    }

    /** Returns the latest process of each node, ordered by node id. */
    public Collection<SimulatedNode> nodes() {
        return nodes.values();
    }

    /** Returns the target beside a node. */
    public SimulatedTarget target(NodeId id) {
        return targets.get(id);
    }

    /** Returns all targets, ordered by node id. */
    public Collection<SimulatedTarget> targets() {
        return targets.values();
    }

    boolean isProcessUp(NodeId id) {
        return node(id).filter(SimulatedNode::isAlive).isPresent();
    }

    void executeOn(NodeId id, Consumer<SimulatedNode> task) {
        node(id).ifPresent(node -> node.execute(() -> task.accept(node)));
    }

    List<NodeId> seedNodesOf(NodeId id) {
        return nodes.keySet().stream().filter(other -> !other.equals(id)).toList();
    }

    List<SimulatedNode> ingresses() {
        return nodes.values().stream().filter(SimulatedNode::acceptsRequests).toList();
    }
}
