package org.dogwoodwood.node.keys;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.dogwoodwood.codec.gossip.ControlFrameTypes;
import org.dogwoodwood.codec.gossip.KeyHandoverFrames;
import org.dogwoodwood.codec.wire.ControlFrame;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.core.configuration.ServiceDefinition;
import org.dogwoodwood.core.idempotency.DefaultIdempotencyRegistry;
import org.dogwoodwood.core.idempotency.IdempotencyRegistry;
import org.dogwoodwood.core.idempotency.KeyDecision;
import org.dogwoodwood.core.idempotency.KeyHandover;
import org.dogwoodwood.core.idempotency.KeyLimits;
import org.dogwoodwood.core.idempotency.KeyOwnership;
import org.dogwoodwood.core.idempotency.MemberView;
import org.dogwoodwood.core.idempotency.MemberView.RegisteredMember;
import org.dogwoodwood.core.model.CallDescription;
import org.dogwoodwood.core.model.NodeId;
import org.dogwoodwood.core.model.TargetAnswer;
import org.dogwoodwood.core.routing.RouteTarget;
import org.dogwoodwood.node.control.ControlPlane;
import org.dogwoodwood.node.control.LogEntry;
import org.dogwoodwood.node.control.MembershipLog;
import org.dogwoodwood.node.ingress.KeyRouter;
import org.dogwoodwood.node.peer.PeerIdentity;
import org.dogwoodwood.node.peer.PeerTransport;

/**
 * Manages the idempotency keys of this node: updates {@link KeyOwnership} from the log and from
 * peers, and hands keys over to other owners. Its state is confined to the traffic loop, where the
 * guard and the ingress use it.
 */
public final class KeyService implements IdempotencyRegistry, KeyRouter {

    private static final long HANDOVER_INTERVAL_MILLIS = 100;
    private static final long CONFIRM_INTERVAL_MILLIS = 1_000;
    private static final long EXCHANGE_TIMEOUT_MILLIS = 400;
    private static final long HANDOVER_CHECK_MILLIS = 20;

    // Bounds the wait for the key handover, which is impossible while the platform log is
    // unavailable; the next owner then waits until the key window has passed.
    private static final long HANDOVER_TIMEOUT_NANOS = 5_000_000_000L;

    // Equals the retention of the log, so that a node that starts later sees the same members.
    private static final long REGISTRATION_LIFETIME_MILLIS = Duration.ofDays(7).toMillis();

    private final Vertx vertx;
    private final Context loop;
    private final PeerTransport transport;
    private final ControlPlane control;
    private final RegisteredMember self;
    private final ServiceViews views;
    private final Set<RegisteredMember> handingOver = new HashSet<>();
    private Optional<String> service = Optional.empty();
    private Optional<KeyOwnership> ownership = Optional.empty();
    private Optional<DefaultIdempotencyRegistry> registry = Optional.empty();
    private long logEndNanos = Long.MIN_VALUE;
    private boolean leaving;

    private KeyService(
            Vertx vertx,
            Context loop,
            PeerTransport transport,
            ControlPlane control,
            PeerIdentity identity) {
        this.vertx = Objects.requireNonNull(vertx, "vertx");
        this.loop = Objects.requireNonNull(loop, "loop");
        this.transport = Objects.requireNonNull(transport, "transport");
        this.control = Objects.requireNonNull(control, "control");
        this.self = new RegisteredMember(identity.node(), identity.incarnation());
        this.views = new ServiceViews(REGISTRATION_LIFETIME_MILLIS);
    }

    /**
     * Returns a service that listens to the log; must be called before the control plane starts.
     *
     * @param loop the traffic loop, not null
     * @param log the stream of registered members, not null
     */
    public static KeyService create(
            Vertx vertx,
            Context loop,
            PeerTransport transport,
            ControlPlane control,
            MembershipLog log,
            PeerIdentity identity) {
        KeyService keys = new KeyService(vertx, loop, transport, control, identity);
        log.onMembershipEntry(entry -> keys.runOnLoop(() -> keys.onEntry(entry)));
        log.onMembershipEndReached(sentNanos -> keys.runOnLoop(() -> keys.onLogEnd(sentNanos)));
        log.onMembershipExpired(first -> keys.runOnLoop(() -> keys.onExpired(first)));
        log.setFrameHandler(ControlFrameTypes.KEY_HANDOVER, keys::onFrame);
        return keys;
    }

    /**
     * Starts the periodic handover of keys and confirmation of ownership; must be called on the
     * traffic loop.
     */
    public void start() {
        vertx.setPeriodic(HANDOVER_INTERVAL_MILLIS, ignored -> startHandovers());
        vertx.setPeriodic(CONFIRM_INTERVAL_MILLIS, ignored -> confirmWithPeers());
        control.onRoutingTable(ignored -> runOnLoop(this::updateWindow));
    }

    /** Sets the service that this node's target belongs to; keys of other services are refused. */
    public void setService(String name) {
        if (service.filter(name::equals).isPresent()) {
            return;
        }
        service = Optional.of(name);
        KeyOwnership created =
                KeyOwnership.create(
                        name, self, windowNanos(name), KeyOwnership.DEFAULT_LEASE_NANOS);
        ownership = Optional.of(created);
        registry = Optional.of(DefaultIdempotencyRegistry.create(created, KeyLimits.DEFAULT));
        long nowNanos = System.nanoTime();
        if (views.isHistoryTruncated(name)) {
            created.onMissedRecords(nowNanos);
        }
        views.historyOf(name).forEach(view -> created.onView(view, nowNanos));
        views.discardHistory();
        if (logEndNanos != Long.MIN_VALUE) {
            created.onLogEnd(logEndNanos);
        }
    }

    /** Stops acting as an owner; must be called before the leave record is appended. */
    public void leave() {
        leaving = true;
        ownership.ifPresent(KeyOwnership::leave);
    }

    /**
     * Returns a future that completes when no key is left to hand over or when a limited time has
     * passed; must be called on the traffic loop.
     */
    public Future<Void> awaitHandover() {
        Promise<Void> complete = Promise.promise();
        checkHandover(complete, System.nanoTime() + HANDOVER_TIMEOUT_NANOS);
        return complete.future();
    }

    private void checkHandover(Promise<Void> complete, long untilNanos) {
        if (isHandoverComplete() || System.nanoTime() - untilNanos > 0) {
            complete.complete();
        } else {
            vertx.setTimer(HANDOVER_CHECK_MILLIS, ignored -> checkHandover(complete, untilNanos));
        }
    }

    /**
     * Returns whether no key is left to hand over, according to the part of the log that this node
     * has read.
     */
    private boolean isHandoverComplete() {
        if (ownership.isEmpty() || registry.orElseThrow().size() == 0) {
            return true;
        }
        boolean removed =
                ownership.get().currentView().map(view -> !view.contains(self)).orElse(true);
        return removed && ownership.get().handoverRecipients(System.nanoTime()).isEmpty();
    }

    @Override
    public Optional<NodeId> ownerOf(String serviceName, String key, List<RouteTarget> targets) {
        return views.viewOf(serviceName)
                .flatMap(view -> view.ownerOf(serviceName, key))
                .map(RegisteredMember::node);
    }

    @Override
    public KeyDecision begin(CallDescription call, long nowNanos) {
        return registry.map(known -> known.begin(call, nowNanos))
                .orElseGet(() -> KeyDecision.refuse(ErrorCode.KEY_NOT_OWNED));
    }

    @Override
    public boolean mayStart(CallDescription call, long nowNanos) {
        return registry.isPresent() && registry.get().mayStart(call, nowNanos);
    }

    @Override
    public void complete(CallDescription call, TargetAnswer answer, long nowNanos) {
        registry.ifPresent(known -> known.complete(call, answer, nowNanos));
    }

    @Override
    public void release(CallDescription call) {
        registry.ifPresent(known -> known.release(call));
    }

    @Override
    public void markInDoubt(CallDescription call, long nowNanos) {
        registry.ifPresent(known -> known.markInDoubt(call, nowNanos));
    }

    private void onEntry(LogEntry entry) {
        Map<String, MemberView> changed = views.accept(entry);
        MemberView own = service.map(changed::get).orElse(null);
        if (own != null) {
            ownership.orElseThrow().onView(own, System.nanoTime());
        }
    }

    private void onLogEnd(long sentNanos) {
        logEndNanos = sentNanos;
        ownership.ifPresent(owned -> owned.onLogEnd(sentNanos));
    }

    private void onExpired(long firstOffset) {
        views.restartFrom(firstOffset);
        ownership.ifPresent(owned -> owned.onMissedRecords(System.nanoTime()));
    }

    private void updateWindow() {
        if (service.isPresent()) {
            ownership.orElseThrow().setWindow(windowNanos(service.get()));
        }
    }

    private long windowNanos(String name) {
        ServiceDefinition definition = control.routingTable().configuration().services().get(name);
        int seconds =
                definition == null
                        ? ServiceDefinition.DEFAULT_KEY_WINDOW_SECONDS
                        : definition.keyWindowSeconds();
        // The window must outlast the lease under which a former owner may still act.
        return Math.max(
                Duration.ofSeconds(seconds).toNanos(), 2 * KeyOwnership.DEFAULT_LEASE_NANOS);
    }

    private void startHandovers() {
        if (ownership.isEmpty()) {
            return;
        }
        long nowNanos = System.nanoTime();
        for (RegisteredMember recipient : ownership.get().handoverRecipients(nowNanos)) {
            if (handingOver.add(recipient)) {
                sendFrames(
                        recipient,
                        new ArrayDeque<>(
                                registry.orElseThrow().prepareHandover(recipient, nowNanos)));
            }
        }
        for (KeyHandover update : registry.orElseThrow().drainUpdates()) {
            exchange(update.recipient(), Optional.of(update));
        }
    }

    private void sendFrames(RegisteredMember recipient, Deque<KeyHandover> frames) {
        KeyHandover frame = frames.remove();
        exchange(recipient, Optional.of(frame))
                .onFailure(failure -> handingOver.remove(recipient))
                .onSuccess(
                        reply -> {
                            if (reply.accepted() && !frames.isEmpty()) {
                                sendFrames(recipient, frames);
                                return;
                            }
                            handingOver.remove(recipient);
                            if (reply.accepted()) {
                                ownership
                                        .orElseThrow()
                                        .onHandoverAccepted(recipient, frame.viewOffset());
                            }
                        });
    }

    /**
     * Requests the offsets of the other members' views, while the log does not confirm ownership.
     */
    private void confirmWithPeers() {
        long maxAgeNanos = Duration.ofMillis(CONFIRM_INTERVAL_MILLIS).toNanos();
        boolean logConfirms =
                logEndNanos != Long.MIN_VALUE && System.nanoTime() - logEndNanos < maxAgeNanos;
        Optional<MemberView> view = ownership.flatMap(KeyOwnership::currentView);
        if (leaving || logConfirms || view.isEmpty()) {
            return;
        }
        view.get()
                .incarnations()
                .forEach(
                        (node, incarnation) -> {
                            RegisteredMember member = new RegisteredMember(node, incarnation);
                            if (!member.equals(self)) {
                                exchange(member, Optional.empty());
                            }
                        });
    }

    private Future<KeyHandoverFrames.Reply> exchange(
            RegisteredMember member, Optional<KeyHandover> handover) {
        Optional<RouteTarget> address =
                control.routingTable().targetsOf(service.orElseThrow()).stream()
                        .filter(target -> target.node().equals(member.node()))
                        .findFirst();
        if (address.isEmpty()) {
            return Future.failedFuture("The address of " + member.node() + " is not known.");
        }
        long sentNanos = System.nanoTime();
        ControlFrame request =
                ControlFrame.of(
                        ControlFrameTypes.KEY_HANDOVER, KeyHandoverFrames.encodeRequest(handover));
        Promise<KeyHandoverFrames.Reply> answered = Promise.promise();
        transport
                .exchange(
                        address.get().peerHost(),
                        address.get().peerPort(),
                        request,
                        EXCHANGE_TIMEOUT_MILLIS)
                .map(frame -> KeyHandoverFrames.decodeReply(frame.payload()))
                .onFailure(failure -> runOnLoop(() -> answered.fail(failure)))
                .onSuccess(
                        reply ->
                                runOnLoop(
                                        () -> {
                                            onReply(reply, sentNanos);
                                            answered.complete(reply);
                                        }));
        return answered.future();
    }

    private void onReply(KeyHandoverFrames.Reply reply, long sentNanos) {
        if (reply.viewOffset().isPresent()) {
            ownership
                    .orElseThrow()
                    .onPeerOffset(
                            reply.sender(),
                            reply.viewOffset().getAsLong(),
                            sentNanos,
                            System.nanoTime());
        }
    }

    private Future<ControlFrame> onFrame(ControlFrame frame) {
        Optional<KeyHandover> handover = KeyHandoverFrames.decodeRequest(frame.payload());
        Promise<ControlFrame> answered = Promise.promise();
        runOnLoop(() -> answered.complete(answer(handover)));
        return answered.future();
    }

    private ControlFrame answer(Optional<KeyHandover> handover) {
        boolean accepted =
                handover.isPresent()
                        && registry.isPresent()
                        && registry.get().receive(handover.get(), System.nanoTime());
        OptionalLong offset =
                ownership.map(KeyOwnership::offsetToReport).orElse(OptionalLong.empty());
        KeyHandoverFrames.Reply reply = new KeyHandoverFrames.Reply(self, accepted, offset);
        return ControlFrame.of(
                ControlFrameTypes.KEY_HANDOVER_REPLY, KeyHandoverFrames.encodeReply(reply));
    }

    private void runOnLoop(Runnable action) {
        loop.runOnContext(ignored -> action.run());
    }
}
