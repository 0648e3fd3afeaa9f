package org.dogwoodwood.node.quota;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.dogwoodwood.codec.gossip.ControlFrameTypes;
import org.dogwoodwood.codec.gossip.QuotaFrames;
import org.dogwoodwood.codec.wire.ControlFrame;
import org.dogwoodwood.core.configuration.AccountDefinition;
import org.dogwoodwood.core.model.NodeId;
import org.dogwoodwood.core.quota.IngressQuota;
import org.dogwoodwood.core.quota.QuotaCoordinators;
import org.dogwoodwood.core.quota.QuotaDecision;
import org.dogwoodwood.core.quota.QuotaGrant;
import org.dogwoodwood.core.quota.QuotaLimit;
import org.dogwoodwood.core.quota.QuotaMembers;
import org.dogwoodwood.core.quota.QuotaView;
import org.dogwoodwood.core.quota.SlotId;
import org.dogwoodwood.core.routing.RouteTarget;
import org.dogwoodwood.core.routing.RoutingTable;
import org.dogwoodwood.node.control.ControlPlane;
import org.dogwoodwood.node.ingress.AccountQuota;
import org.dogwoodwood.node.ingress.QuotaRefusal;
import org.dogwoodwood.node.logging.EventLog;
import org.dogwoodwood.node.logging.LogEvent;
import org.dogwoodwood.node.metrics.NodeMetrics;
import org.dogwoodwood.node.peer.PeerServer;
import org.dogwoodwood.node.peer.PeerTransport;
import org.dogwoodwood.node.settings.NodeSettings;

/**
 * Decides on the calls of limited accounts at this ingress and coordinates the slots assigned to
 * this node; used on the traffic loop only. See {@code docs/design/quotas.md}.
 */
public final class QuotaService implements AccountQuota {

    private static final long TICK_MILLIS = 250;
    private static final long REFRESH_NANOS = 60_000_000_000L;

    private final Vertx vertx;
    private final Context loop;
    private final NodeId self;
    private final ControlPlane control;
    private final NodeMetrics metrics;
    private final EventLog log;
    private final QuotaBatches batches;
    private final QuotaMembers members = QuotaMembers.create();
    private final Map<String, IngressQuota> ingressQuotas = new HashMap<>();
    private final Map<String, Long> refusals = new HashMap<>();
    private Map<NodeId, RouteTarget> peers = Map.of();
    private Optional<RoutingTable> applied = Optional.empty();
    private long appliedNanos;
    private QuotaView view;
    private QuotaCoordinators coordinators;
    private long timer = -1;

    private QuotaService(
            Vertx vertx,
            Context loop,
            NodeSettings settings,
            ControlPlane control,
            PeerTransport transport,
            NodeMetrics metrics,
            EventLog log) {
        this.vertx = Objects.requireNonNull(vertx, "vertx");
        this.loop = Objects.requireNonNull(loop, "loop");
        this.self = settings.nodeId();
        this.control = Objects.requireNonNull(control, "control");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
        this.log = Objects.requireNonNull(log, "log");
        this.batches = new QuotaBatches(loop, transport, metrics);
        this.view = QuotaView.empty(self, settings.dataCentre());
    }

    /**
     * Returns a service that is not started.
     *
     * @param loop the traffic loop, not null
     */
    public static QuotaService create(
            Vertx vertx,
            Context loop,
            NodeSettings settings,
            ControlPlane control,
            PeerTransport transport,
            NodeMetrics metrics,
            EventLog log) {
        return new QuotaService(vertx, loop, settings, control, transport, metrics, log);
    }

    /**
     * Starts to follow the configuration and the members and to answer peers; must be called before
     * the control plane is started.
     *
     * @param server accepts the connections of peers, not null
     */
    public void start(PeerServer server) {
        // Another process with the ports of this node may have granted quotas until now.
        coordinators = QuotaCoordinators.create(this::sendLoan, System.nanoTime());
        server.setTrafficHandler(ControlFrameTypes.QUOTA_REQUEST, this::onRequest);
        tick();
        timer = vertx.setPeriodic(TICK_MILLIS, ignored -> tick());
    }

    /** Stops following the configuration and the members. */
    public void stop() {
        vertx.cancelTimer(timer);
    }

    @Override
    public void decide(String account, Consumer<Optional<QuotaRefusal>> listener) {
        if (!view.limits().containsKey(account) && isLimitedNow(account)) {
            update();
        }
        Optional<QuotaLimit> limit = view.limitOf(account);
        if (limit.isEmpty()) {
            listener.accept(Optional.empty());
            return;
        }
        long nowNanos = System.nanoTime();
        IngressQuota quota =
                ingressQuotas.computeIfAbsent(account, name -> IngressQuota.create(nowNanos));
        quota.decide(nowNanos, decision -> listener.accept(onDecision(limit.get(), decision)));
        sendAsk(account, quota);
    }

    private Future<ControlFrame> onRequest(ControlFrame frame) {
        QuotaFrames.Request request = QuotaFrames.decodeRequest(frame.payload());
        long nowNanos = System.nanoTime();
        List<Future<QuotaGrant>> grants =
                request.entries().stream()
                        .map(entry -> answer(request.loan(), entry, nowNanos))
                        .toList();
        return Future.all(grants)
                .map(
                        ignored ->
                                ControlFrame.of(
                                        ControlFrameTypes.QUOTA_REPLY,
                                        QuotaFrames.encodeReply(
                                                grants.stream().map(Future::result).toList())));
    }

    private Future<QuotaGrant> answer(boolean loan, QuotaFrames.Entry entry, long nowNanos) {
        if (loan) {
            return Future.succeededFuture(
                    coordinators.lend(entry.slot(), entry.waiting(), entry.wished(), nowNanos));
        }
        Promise<QuotaGrant> promise = Promise.promise();
        coordinators.ask(
                entry.slot(), entry.waiting(), entry.wished(), nowNanos, promise::complete);
        return promise.future();
    }

    private void sendAsk(String account, IngressQuota quota) {
        Optional<IngressQuota.Ask> next = quota.nextAsk(System.nanoTime());
        if (next.isEmpty()) {
            return;
        }
        IngressQuota.Ask ask = next.get();
        if (view.limitOf(account).isEmpty()) {
            onAnswer(account, quota, ask, Optional.empty());
            return;
        }
        List<Integer> order = view.slotOrder(account);
        SlotId slot = new SlotId(account, order.get(ask.slot() % order.size()));
        QuotaFrames.Entry entry = new QuotaFrames.Entry(slot, ask.waiting(), ask.wished());
        send(slot, false, entry, grant -> onAnswer(account, quota, ask, grant));
    }

    private void onAnswer(
            String account, IngressQuota quota, IngressQuota.Ask ask, Optional<QuotaGrant> grant) {
        boolean limited = view.limitOf(account).isPresent();
        // The limit may have been removed while calls waited.
        Optional<QuotaGrant> effective =
                limited ? grant : Optional.of(QuotaGrant.of(Integer.MAX_VALUE));
        int slots = limited ? view.slots(account) : 1;
        quota.onAnswer(ask, effective, slots, System.nanoTime());
        sendAsk(account, quota);
    }

    private void sendLoan(SlotId borrower, SlotId lender, int missing, int wished) {
        QuotaFrames.Entry entry = new QuotaFrames.Entry(lender, missing, wished);
        send(
                lender,
                true,
                entry,
                grant -> coordinators.onLoan(borrower, lender, grant, System.nanoTime()));
    }

    private void send(
            SlotId slot,
            boolean loan,
            QuotaFrames.Entry entry,
            Consumer<Optional<QuotaGrant>> listener) {
        Optional<NodeId> coordinator =
                view.limitOf(slot.account()).flatMap(limit -> view.coordinatorOf(slot));
        if (coordinator.filter(self::equals).isPresent()) {
            loop.runOnContext(
                    ignored ->
                            answer(loan, entry, System.nanoTime())
                                    .onSuccess(grant -> listener.accept(Optional.of(grant))));
            return;
        }
        Optional<RouteTarget> peer = coordinator.map(peers::get);
        if (peer.isPresent()) {
            batches.add(peer.get(), loan, entry, listener);
        } else {
            loop.runOnContext(ignored -> listener.accept(Optional.empty()));
        }
    }

    private Optional<QuotaRefusal> onDecision(QuotaLimit limit, QuotaDecision decision) {
        if (decision.admitted()) {
            return Optional.empty();
        }
        String account = limit.account();
        metrics.onQuotaRefusal(account);
        if (refusals.merge(account, 1L, Long::sum) == 1) {
            log.write(
                    LogEvent.ACCOUNT_LIMITED,
                    "account",
                    account,
                    "calls_per_second",
                    limit.callsPerSecond(),
                    "burst",
                    limit.burst());
        }
        return Optional.of(new QuotaRefusal(limit, decision.retryMillis()));
    }

    private void tick() {
        coordinators.tick(System.nanoTime());
        update();
        long nowNanos = System.nanoTime();
        refusals.entrySet()
                .removeIf(
                        entry -> {
                            IngressQuota quota = ingressQuotas.get(entry.getKey());
                            if (quota != null && quota.isLimited(nowNanos)) {
                                return false;
                            }
                            log.write(
                                    LogEvent.ACCOUNT_NOT_LIMITED,
                                    "account",
                                    entry.getKey(),
                                    "refused",
                                    entry.getValue());
                            return true;
                        });
    }

    private boolean isLimitedNow(String account) {
        AccountDefinition definition =
                control.routingTable().configuration().accounts().get(account);
        return definition != null && definition.isLimited();
    }

    private void update() {
        RoutingTable table = control.routingTable();
        if (table.configuration().accounts().isEmpty() && view.limits().isEmpty()) {
            return;
        }
        long nowNanos = System.nanoTime();
        boolean unchanged =
                applied.filter(
                                last ->
                                        last.configuration().equals(table.configuration())
                                                && last.targetsByService()
                                                        .equals(table.targetsByService()))
                        .isPresent();
        // Members that disappeared long ago are forgotten without a change of the table.
        if (unchanged && nowNanos - appliedNanos < REFRESH_NANOS) {
            return;
        }
        applied = Optional.of(table);
        appliedNanos = nowNanos;
        List<RouteTarget> targets =
                table.targetsByService().values().stream().flatMap(List::stream).toList();
        peers =
                targets.stream()
                        .collect(
                                Collectors.toMap(
                                        RouteTarget::node, target -> target, (one, other) -> one));
        Map<String, QuotaLimit> limits =
                table.configuration().accounts().values().stream()
                        .filter(AccountDefinition::isLimited)
                        .collect(Collectors.toMap(AccountDefinition::name, QuotaLimit::of));
        view = new QuotaView(self, view.dataCentre(), limits, members.update(targets, nowNanos));
        coordinators.onView(view, nowNanos);
        ingressQuotas.keySet().retainAll(limits.keySet());
    }
}
