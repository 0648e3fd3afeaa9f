package org.dogwoodwood.node.control;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongConsumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.dogwoodwood.codec.gossip.ControlFrameTypes;
import org.dogwoodwood.codec.wire.ControlFrame;
import org.dogwoodwood.core.DogwoodwoodException;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.core.balancing.CapacityTable;
import org.dogwoodwood.core.health.TrialCrash;
import org.dogwoodwood.core.membership.MemberTarget;
import org.dogwoodwood.core.membership.NodeAddress;
import org.dogwoodwood.core.membership.RegistrationList;
import org.dogwoodwood.core.membership.StableHash;
import org.dogwoodwood.core.routing.RoutingTable;
import org.dogwoodwood.node.logging.EventLog;
import org.dogwoodwood.node.peer.PeerTransport;

/** A control plane on its own event loop, to which its {@link ControlState} is confined. */
public final class DefaultControlPlane
        implements ControlPlane, ControlAdministration, MembershipLog {

    private final Vertx vertx;
    private final PeerTransport transport;
    private final ControlSettings settings;
    private final CapacityTable capacities;
    private final ControlComponents components;
    private final RandomGenerator random;
    private final EventLog events;
    private final List<Consumer<RoutingTable>> routingTableListeners = new CopyOnWriteArrayList<>();
    private final List<Consumer<LogEntry>> entryListeners = new CopyOnWriteArrayList<>();
    private final List<LongConsumer> endListeners = new CopyOnWriteArrayList<>();
    private final List<LongConsumer> expiryListeners = new CopyOnWriteArrayList<>();
    private final Map<Integer, Function<ControlFrame, Future<ControlFrame>>> frameHandlers =
            new ConcurrentHashMap<>();
    private volatile RoutingTable routingTable = RoutingTable.empty();
    private volatile CrashEvidence crashEvidence;
    private volatile Context context;
    private volatile String deploymentId;
    private volatile ControlState state;

    private DefaultControlPlane(
            Vertx vertx,
            PeerTransport transport,
            ControlSettings settings,
            ControlComponents components,
            RandomGenerator random,
            EventLog events) {
        this.vertx = vertx;
        this.transport = transport;
        this.settings = settings;
        this.capacities = CapacityTable.create(settings.address().dataCentre());
        this.components = components;
        this.random = random;
        this.crashEvidence = RegistryCrashEvidence.create(settings.node(), settings.incarnation());
        this.events = events;
        onRoutingTable(new BlockedRequestLog(events)::onTable);
    }

    /**
     * Returns a control plane that is not started yet.
     *
     * @param vertx the Vert.x instance, not null
     * @param transport the connections to other nodes, not null
     * @param settings the settings, not null
     * @param random the source of randomness, used on the control thread only, not null
     * @param events the event log, not null
     */
    public static DefaultControlPlane create(
            Vertx vertx,
            PeerTransport transport,
            ControlSettings settings,
            RandomGenerator random,
            EventLog events) {
        return create(vertx, transport, settings, ControlComponents.of(settings), random, events);
    }

    static DefaultControlPlane create(
            Vertx vertx,
            PeerTransport transport,
            ControlSettings settings,
            ControlComponents components,
            RandomGenerator random,
            EventLog events) {
        return new DefaultControlPlane(vertx, transport, settings, components, random, events);
    }

    /**
     * Returns a control plane for a node, and adds its routes to the admin port; usable as a {@link
     * ControlPlaneFactory}.
     *
     * @param context the resources and addresses of the node, not null
     */
    public static DefaultControlPlane from(ControlContext context) {
        ControlSettings settings = settingsOf(context, ControlTimings.defaults());
        return from(context, settings, ControlComponents.of(settings));
    }

    /**
     * Returns a control plane for a node that uses the given components, and adds its routes to the
     * admin port.
     *
     * @param context the resources and addresses of the node, not null
     * @param components the components, not null
     */
    public static DefaultControlPlane from(ControlContext context, ControlComponents components) {
        return from(context, settingsOf(context, components.timings()), components);
    }

    private static ControlSettings settingsOf(ControlContext context, ControlTimings timings) {
        return new ControlSettings(
                context.identity().node(),
                context.identity().incarnation(),
                new NodeAddress(
                        context.settings().dataCentre(),
                        context.peerAddress().host(),
                        context.peerAddress().port(),
                        context.callerAddress().port()),
                context.settings().logAddress(),
                context.settings().seeds(),
                timings);
    }

    private static DefaultControlPlane from(
            ControlContext context, ControlSettings settings, ControlComponents components) {
        long seed =
                StableHash.combine(StableHash.of(settings.node().value()), settings.incarnation());
        DefaultControlPlane control =
                create(
                        context.vertx(),
                        context.transport(),
                        settings,
                        components,
                        new SplittableRandom(seed),
                        context.events());
        control.onIncarnation(context.identity()::raiseIncarnation);
        ControlRoutes.add(context.admin(), control);
        return control;
    }

    @Override
    public Future<Void> start() {
        return vertx.deployVerticle(this::deploy)
                .map(
                        id -> {
                            deploymentId = id;
                            return null;
                        });
    }

    @Override
    public Future<Void> stop() {
        if (deploymentId == null) {
            return Future.succeededFuture();
        }
        return onControlThread(() -> state.stop()).compose(done -> vertx.undeploy(deploymentId));
    }

    @Override
    public Optional<CapacityTable> capacities() {
        return Optional.of(capacities);
    }

    @Override
    public RoutingTable routingTable() {
        return routingTable;
    }

    @Override
    public void onRoutingTable(Consumer<RoutingTable> listener) {
        routingTableListeners.add(listener);
    }

    @Override
    public void announceTarget(MemberTarget target) {
        onControlThread(
                () -> {
                    state.announceTarget(target);
                    return Future.succeededFuture();
                });
    }

    @Override
    public Future<Void> announceLeaving() {
        return onControlThread(() -> state.announceLeaving());
    }

    @Override
    public void reportCrash(Set<Long> inFlight, Optional<TrialCrash> tried) {
        Set<Long> copy = Set.copyOf(inFlight);
        onControlThread(
                () -> {
                    state.crashReports().onCrash(copy, tried);
                    return Future.succeededFuture();
                });
    }

    @Override
    public void reportAnswered(long fingerprint, long ageNanos) {
        onControlThread(
                () -> {
                    state.crashReports().onAnswered(fingerprint, ageNanos);
                    return Future.succeededFuture();
                });
    }

    @Override
    public boolean isReady() {
        return state != null && state.isReady();
    }

    @Override
    public Future<JsonObject> status() {
        return onControlThread(() -> Future.succeededFuture(state.report().status()));
    }

    @Override
    public Future<JsonObject> orderDataCentre(String dataCentre, JsonObject body) {
        return onControlThread(
                () -> Future.succeededFuture(state.orderDataCentre(dataCentre, body)));
    }

    @Override
    public Future<JsonObject> configuration(Optional<String> publicationId) {
        return onControlThread(
                () -> Future.succeededFuture(state.report().configuration(publicationId)));
    }

    /** Returns the registered members of a service in log order. */
    public Future<RegistrationList.View> registeredMembers(String service) {
        return onControlThread(() -> Future.succeededFuture(state.registeredMembers(service)));
    }

    /** Returns the node's incarnation, which is raised if a peer or the log holds a higher one. */
    public Future<Long> incarnation() {
        return onControlThread(() -> Future.succeededFuture(state.incarnation()));
    }

    /**
     * Adds a listener that receives the node's incarnation with each routing table, on the control
     * thread.
     */
    void onIncarnation(LongConsumer listener) {
        onRoutingTable(table -> listener.accept(state.incarnation()));
    }

    @Override
    public Optional<MembershipLog> membershipLog() {
        return components.keyedCalls() ? Optional.of(this) : Optional.empty();
    }

    @Override
    public void onMembershipEntry(Consumer<LogEntry> listener) {
        entryListeners.add(listener);
    }

    @Override
    public void onMembershipEndReached(LongConsumer listener) {
        endListeners.add(listener);
    }

    @Override
    public void onMembershipExpired(LongConsumer listener) {
        expiryListeners.add(listener);
    }

    /** Replaces the evidence about crashing requests; must be called before {@link #start}. */
    public void setCrashEvidence(CrashEvidence evidence) {
        crashEvidence = evidence;
    }

    @Override
    public void setFrameHandler(int type, Function<ControlFrame, Future<ControlFrame>> handler) {
        frameHandlers.put(type, handler);
    }

    private Future<?> deploy(Context ownContext) {
        context = ownContext;
        state =
                new ControlState(
                        vertx,
                        transport,
                        settings,
                        components,
                        random,
                        crashEvidence,
                        capacities,
                        this::publish,
                        events);
        entryListeners.forEach(state::onMembershipEntry);
        endListeners.forEach(state::onMembershipEndReached);
        expiryListeners.forEach(state::onMembershipExpired);
        transport.setControlHandler(frame -> onControlThread(() -> dispatchFrame(frame)));
        state.start();
        return Future.succeededFuture();
    }

    private void publish(RoutingTable next) {
        routingTable = next;
        routingTableListeners.forEach(listener -> listener.accept(next));
    }

    private Future<ControlFrame> dispatchFrame(ControlFrame frame) {
        Function<ControlFrame, Future<ControlFrame>> handler = frameHandlers.get(frame.type());
        if (handler != null) {
            return handler.apply(frame);
        }
        return switch (frame.type()) {
            case ControlFrameTypes.GOSSIP,
                    ControlFrameTypes.CONFIGURATION_REQUEST,
                    ControlFrameTypes.INDIRECT_PING ->
                    state.handleFrame(frame);
            default ->
                    Future.failedFuture(
                            new DogwoodwoodException(
                                    ErrorCode.FRAME_MALFORMED,
                                    "No handler is registered for frames of type "
                                            + frame.type()
                                            + "."));
        };
    }

    private <T> Future<T> onControlThread(Supplier<Future<T>> action) {
        Context target = context;
        if (target == null) {
            return Future.failedFuture(
                    new DogwoodwoodException(
                            ErrorCode.NO_CONFIGURATION, "This node has not started yet."));
        }
        Promise<T> promise = Promise.promise();
        target.runOnContext(
                ignored -> {
                    try {
                        action.get().onComplete(promise);
                    } catch (RuntimeException e) {
                        promise.fail(e);
                    }
                });
        return promise.future();
    }
}
