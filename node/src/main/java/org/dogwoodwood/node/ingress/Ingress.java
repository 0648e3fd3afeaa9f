package org.dogwoodwood.node.ingress;

import io.vertx.core.Vertx;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.dogwoodwood.core.balancing.CallNeeds;
import org.dogwoodwood.core.balancing.CapacityTable;
import org.dogwoodwood.core.calls.FinishedCall;
import org.dogwoodwood.core.configuration.PolicyDefinition;
import org.dogwoodwood.core.configuration.ServiceDefinition;
import org.dogwoodwood.core.model.CallId;
import org.dogwoodwood.core.model.LoadReport;
import org.dogwoodwood.core.model.NodeId;
import org.dogwoodwood.core.routing.RouteTarget;
import org.dogwoodwood.core.routing.RoutingTable;
import org.dogwoodwood.node.control.AnsweredRequests;
import org.dogwoodwood.node.control.ControlPlane;
import org.dogwoodwood.node.logging.EventLog;
import org.dogwoodwood.node.loop.ReadFirstQueue;
import org.dogwoodwood.node.metrics.NodeMetrics;
import org.dogwoodwood.node.peer.AttemptSender;
import org.dogwoodwood.node.peer.PeerIdentity;

/**
 * Starts the calls that this node accepts from callers and keeps the state of their services; used
 * on the traffic loop only.
 */
public final class Ingress {

    private final Vertx vertx;
    private final PeerIdentity identity;
    private final String dataCentre;
    private final ControlPlane control;
    private final CapacityTable capacities;
    private AttemptSender sender;
    private final KeyRouter keyRouter;
    private final NodeMetrics metrics;
    private final RandomGenerator random;
    private final EventLog log;
    private final ReadFirstQueue startQueue;
    private final AnsweredRequests answeredRequests;
    private AccountQuota quota = AccountQuota.unlimited();
    private final Map<String, ServiceState> services = new HashMap<>();
    private final Map<NodeId, String> serviceByNode = new HashMap<>();
    private RoutingTable indexedTable = RoutingTable.empty();
    private long nextCounter = 1;

    private Ingress(
            Vertx vertx,
            PeerIdentity identity,
            String dataCentre,
            ControlPlane control,
            KeyRouter keyRouter,
            NodeMetrics metrics,
            RandomGenerator random,
            EventLog log) {
        this.vertx = Objects.requireNonNull(vertx, "vertx");
        this.identity = Objects.requireNonNull(identity, "identity");
        this.dataCentre = Objects.requireNonNull(dataCentre, "dataCentre");
        this.control = Objects.requireNonNull(control, "control");
        this.capacities = control.capacities().orElseGet(() -> CapacityTable.create(dataCentre));
        this.keyRouter = Objects.requireNonNull(keyRouter, "keyRouter");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
        this.random = Objects.requireNonNull(random, "random");
        this.log = Objects.requireNonNull(log, "log");
        this.startQueue = ReadFirstQueue.create(vertx);
        this.answeredRequests = AnsweredRequests.create(control);
    }

    /** Returns an ingress that has accepted no call yet. */
    public static Ingress create(
            Vertx vertx,
            PeerIdentity identity,
            String dataCentre,
            ControlPlane control,
            KeyRouter keyRouter,
            NodeMetrics metrics,
            RandomGenerator random,
            EventLog log) {
        return new Ingress(vertx, identity, dataCentre, control, keyRouter, metrics, random, log);
    }

    /** Sets the sender of attempts to guards; must be called before the first call starts. */
    public void setSender(AttemptSender attemptSender) {
        sender = Objects.requireNonNull(attemptSender, "attemptSender");
    }

    /** Sets the quota of accounts; must be called before the first call starts. */
    public void setQuota(AccountQuota accountQuota) {
        quota = Objects.requireNonNull(accountQuota, "accountQuota");
    }

    /** Applies a load report that arrived without an answer to a call of its service. */
    public void onReport(LoadReport report) {
        RoutingTable table = routingTable();
        if (!isSameInstance(table, indexedTable)) {
            indexServices(table);
        }
        String service = serviceByNode.get(report.guard());
        ServiceState state = service == null ? null : services.get(service);
        if (state != null) {
            state.onReport(report, System.nanoTime());
        }
    }

    /** Starts a call. The listener is called once with its result, unless the call is cancelled. */
    IngressCall startCall(IngressRequest request, Consumer<FinishedCall> listener) {
        CallId id = CallId.of(identity.node(), identity.incarnation(), nextCounter++);
        ServiceState state = stateOf(request.service());
        IngressCall call = new IngressCall(this, vertx, state, request, id, listener);
        call.start();
        return call;
    }

    /** Returns the time after which the caller of a refused request should return. */
    long retryAfterNanos(IngressRequest request) {
        long nowNanos = System.nanoTime();
        CallNeeds needs = CallNeeds.of(0, request.deadlineNanos() - nowNanos, 0);
        return stateOf(request.service()).retryAfterNanos(needs, nowNanos);
    }

    RoutingTable routingTable() {
        return control.routingTable();
    }

    AnsweredRequests answeredRequests() {
        return answeredRequests;
    }

    EventLog log() {
        return log;
    }

    AttemptSender sender() {
        return sender;
    }

    AccountQuota quota() {
        return quota;
    }

    /** Returns the queue that delays attempts until the callers' sockets have been read. */
    ReadFirstQueue startQueue() {
        return startQueue;
    }

    NodeMetrics metrics() {
        return metrics;
    }

    Optional<NodeId> ownerOf(IngressRequest request, List<RouteTarget> targets) {
        return keyRouter.ownerOf(request.service().name(), request.key().orElseThrow(), targets);
    }

    private ServiceState stateOf(ServiceDefinition service) {
        PolicyDefinition policy = routingTable().configuration().policyOf(service.name());
        ServiceState state = services.get(service.name());
        if (state == null || !state.tryUpdate(policy)) {
            state =
                    new ServiceState(
                            service.name(),
                            dataCentre,
                            policy,
                            sender,
                            capacities,
                            metrics,
                            random);
            services.put(service.name(), state);
        }
        return state;
    }

    private void indexServices(RoutingTable table) {
        indexedTable = table;
        serviceByNode.clear();
        for (String service : services.keySet()) {
            for (RouteTarget target : table.targetsOf(service)) {
                serviceByNode.put(target.node(), service);
            }
        }
    }

    // A routing table is replaced as a whole, so comparing contents would only cost time.
    private static boolean isSameInstance(Object one, Object other) {
        return one == other;
    }
}
