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

/** One small installation on a virtual clock: three data centres and one service. */
public final class SimulatedCluster {

    public static final String SERVICE = "outings";
    public static final long KEY_WINDOW_NANOS = 6 * EventLoop.SECOND;
    public static final long KEY_LEASE_NANOS = 1_500 * EventLoop.MILLISECOND;
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

    /** Returns an installation without nodes. */
    public static SimulatedCluster create(long seed, Policies policies) {
        return new SimulatedCluster(seed, policies);
    }

    /** Returns the clock. */
    public EventLoop loop() {
        return loop;
    }

    /** Returns everything that happened. */
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

    /** Returns the callers. */
    public Callers callers() {
        return callers;
    }

    Policies policies() {
        return policies;
    }

    /** Adds a listener that is told of each step before the next event. */
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
        boolean again = nodes.containsKey(id);
        SimulatedNode node = new SimulatedNode(this, id, incarnation, network.dataCentreOf(id));
        nodes.put(id, node);
        node.start();
        if (again) {
            reportStep(StepContext.ofNode(Step.RESTARTING, id));
        }
    }

    /** Ends a node's process at once and starts a new one a little later. */
    public void crashNode(NodeId id) {
        SimulatedNode node = nodes.get(id);
        if (!node.isAlive()) {
            return;
        }
        node.crash();
        loop.schedule(EventLoop.MILLISECOND, () -> onConnectionsReset(id));
        loop.schedule(RESTART_DELAY_NANOS, () -> startProcess(id));
    }

    /** Loses a node's VM, with its target, and replaces it a little later. */
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

    /** Shuts a node down gracefully and replaces its VM a little later. */
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

    /** Gives an operator's order to any node, as the tool does, until one takes it. */
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

    /** Publishes a configuration, as the tool does, until the log confirms it. */
    public void publish(long baseVersion) {
        String id = "publication-" + ++publicationCount;
        NodeId any = nodes.keySet().iterator().next();
        reportStep(StepContext.ofNode(Step.PUBLISHING, any));
        appendUntilConfirmed(new LogEntry.Publication(id, baseVersion, "document " + id), id);
    }

    private void appendUntilConfirmed(LogEntry.Publication publication, String id) {
        log.append(
                PlatformLog.Stream.CONFIGURATION,
                id,
                publication,
                done -> {
                    if (!done) {
                        loop.schedule(
                                RETRY_DELAY_NANOS, () -> appendUntilConfirmed(publication, id));
                    }
                });
    }

    /** Begins a fault that can keep information from nodes, and ends it after a time. */
    public void disrupt(Disruption kind, String scope, long nanos, Consumer<Boolean> fault) {
        journal.add(new Event.DisruptionStarted(loop.now(), kind, scope));
        fault.accept(true);
        loop.schedule(
                nanos,
                () -> {
                    fault.accept(false);
                    journal.add(new Event.DisruptionEnded(loop.now(), kind, scope));
                });
    }

    /** Returns the present process of a node, if one was started. */
    public Optional<SimulatedNode> node(NodeId id) {
        return Optional.ofNullable(nodes.get(id));
    }

    /** Returns the nodes in order of name. */
    public Collection<SimulatedNode> nodes() {
        return nodes.values();
    }

    /** Returns the target beside a node. */
    public SimulatedTarget target(NodeId id) {
        return targets.get(id);
    }

    /** Returns all targets in order of name. */
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
