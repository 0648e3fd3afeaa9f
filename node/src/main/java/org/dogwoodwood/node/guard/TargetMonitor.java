package org.dogwoodwood.node.guard;

import io.vertx.core.AsyncResult;
import io.vertx.core.Vertx;
import java.net.ConnectException;
import java.util.List;
import java.util.Optional;
import java.util.function.UnaryOperator;
import org.dogwoodwood.core.admission.TargetCapacity;
import org.dogwoodwood.core.measurement.MeasurementBudget;
import org.dogwoodwood.core.membership.MemberTarget;
import org.dogwoodwood.core.model.TargetState;
import org.dogwoodwood.node.logging.EventLog;
import org.dogwoodwood.node.logging.LogEvent;
import org.dogwoodwood.node.metrics.NodeMetrics;

/**
 * Monitors the target beside this node by polls within a budget and by the results of calls. Must
 * be used on the traffic loop only.
 */
final class TargetMonitor {

    /** Receives the changes of the target. */
    interface Listener {

        /** The capacity of the target has changed. */
        void onCapacity(TargetCapacity capacity);

        /** The state of the target has changed. */
        void onState(TargetState state);

        /** The target has reported its load. */
        void onLoad(ReportedLoad load);

        /** A poll has ended, whatever its result. */
        void onPollEnded();

        /** The target has crashed or restarted without warning. */
        void onCrash();
    }

    private static final int TICK_MILLIS = 100;
    private static final int FAILED_POLLS_UNTIL_DOWN = 3;

    // Three announcement intervals of 1.5 s.
    private static final long ANNOUNCEMENT_TIMEOUT_NANOS = 4_500_000_000L;

    // A target that receives no calls is still polled for liveness.
    private static final long IDLE_POLL_INTERVAL_NANOS = 1_000_000_000L;

    private final Vertx vertx;
    private final TargetProtocol protocol;
    private final UnaryOperator<String> healthPathOf;
    private final MeasurementBudget budget;
    private final EventLog log;
    private final TargetStateLog stateLog;
    private final NodeMetrics metrics;
    private final Listener listener;
    // Kept when the target changes its address or connections.
    private final SentRequests sentRequests = SentRequests.create();
    private TargetAnnouncement announcement;
    // The result of a poll that began before the last change is stale and is ignored.
    private long changeCount;
    private TargetClient client;
    private TargetState state = TargetState.DOWN;
    private int stateVersion;
    private boolean cold;
    private boolean draining;
    private int slots;
    private long incarnation = 1;
    private Optional<String> reportedIncarnation = Optional.empty();
    private int pollPathIndex;
    private boolean polling;
    private int failedPolls;
    private long lastAliveNanos = System.nanoTime();
    private long lastLoadNanos = System.nanoTime();
    private boolean reportsSpeed;
    // Another process than the announced one has answered; only an announcement names its service.
    private boolean replaced;
    // A crash that broke connections is noticed again when the next process announces itself.
    private boolean crashReported = true;
    private long polls;

    TargetMonitor(
            Vertx vertx,
            TargetProtocol protocol,
            UnaryOperator<String> healthPathOf,
            MeasurementBudget budget,
            EventLog log,
            NodeMetrics metrics,
            Listener listener) {
        this.vertx = vertx;
        this.protocol = protocol;
        this.healthPathOf = healthPathOf;
        this.budget = budget;
        this.log = log;
        this.stateLog = new TargetStateLog(log);
        this.metrics = metrics;
        this.listener = listener;
    }

    void start() {
        vertx.setPeriodic(TICK_MILLIS, ignored -> tick());
    }

    /**
     * Applies an announcement. Unless announcements prove liveness, the first poll that the target
     * answers brings it into service.
     */
    void onAnnouncement(TargetAnnouncement next) {
        boolean sameAddress =
                announcement != null
                        && announcement.address().equals(next.address())
                        && announcement.connections() == next.connections();
        boolean restarted = announcement != null && next.isOtherProcessThan(announcement);
        boolean changed = !next.equals(announcement);
        announcement = next;
        replaced = false;
        slots = next.slots();
        if (!sameAddress) {
            if (client != null) {
                client.close();
            }
            client =
                    TargetClient.create(
                            vertx,
                            protocol,
                            next.address(),
                            next.connections(),
                            sentRequests,
                            log,
                            metrics);
            reportedIncarnation = Optional.empty();
            reportsSpeed = false;
            pollPathIndex = 0;
            goDown();
        } else if (restarted) {
            onRestarted();
        }
        if (changed) {
            changeCount++;
            stateLog.onAnnounced(next);
        }
        if (protocol.announcementProvesLiveness()) {
            onLiveAnnouncement(next);
        } else {
            setColdAndDraining(next.cold(), next.draining());
            tick();
        }
    }

    private void onLiveAnnouncement(TargetAnnouncement next) {
        failedPolls = 0;
        lastAliveNanos = System.nanoTime();
        if (state == TargetState.DOWN) {
            cold = next.cold();
            draining = next.draining();
            goUp();
        }
        setColdAndDraining(next.cold(), next.draining());
    }

    private void onRestarted() {
        reportedIncarnation = Optional.empty();
        stateLog.write(LogEvent.TARGET_CRASHED, announcement);
        goDown();
        reportCrash();
    }

    /** Treats the target as cold until it reports otherwise. */
    void assumeCold() {
        if (announcement != null) {
            changeCount++;
            setColdAndDraining(true, draining);
        }
    }

    /** Updates the state from the result of a call. */
    void onCallEnded(TargetResult.Kind kind) {
        switch (kind) {
            case ANSWERED -> failedPolls = 0;
            case CONNECT_FAILED -> onUnreachable();
            // Its next poll tells whether another process has its address.
            case MISDIRECTED -> pollNow();
            // The next poll shows whether the target has crashed.
            case BROKEN, CONNECTION_LOST -> tick();
            default -> {
                // Exchanges that the guard ended, and refusals, do not change the state.
            }
        }
    }

    void onCall() {
        budget.onCall();
    }

    /** Records that the target has reported its load with an answer. */
    void onLoad(long nowNanos) {
        lastLoadNanos = nowNanos;
        reportsSpeed = true;
    }

    /** Returns whether the target reports its speed and the last report is older than an age. */
    boolean isSpeedOlderThan(long ageNanos, long nowNanos) {
        return reportsSpeed && !draining && speedAgeNanos(nowNanos) > ageNanos;
    }

    /** Returns the time since the target last reported its load, in nanoseconds. */
    long speedAgeNanos(long nowNanos) {
        return nowNanos - lastLoadNanos;
    }

    /** Polls the target now if the budget allows it; returns whether a poll is in progress. */
    boolean pollNow() {
        if (client != null && !replaced && !polling && budget.tryPoll(System.nanoTime())) {
            poll();
        }
        return polling;
    }

    Optional<TargetAnnouncement> announcement() {
        return Optional.ofNullable(announcement);
    }

    TargetClient client() {
        return client;
    }

    TargetState state() {
        return state;
    }

    /** Returns the target for the membership, or empty before it has announced itself. */
    Optional<MemberTarget> memberTarget() {
        return announcement().map(known -> known.toMemberTarget(state, stateVersion));
    }

    int slots() {
        return slots;
    }

    /** Returns the number of polls that have been sent. */
    long polls() {
        return polls;
    }

    private void tick() {
        long nowNanos = System.nanoTime();
        if (client == null || polling || !needsPoll(nowNanos) || !budget.tryPoll(nowNanos)) {
            return;
        }
        poll();
    }

    private void poll() {
        polling = true;
        polls++;
        TargetClient polled = client;
        long changeCountAtPoll = changeCount;
        List<String> paths = protocol.pollPaths(healthPathOf.apply(announcement.service()));
        String path = paths.get(Math.min(pollPathIndex, paths.size() - 1));
        polled.poll(path)
                .onComplete(
                        result -> {
                            polling = false;
                            if (polled == client && changeCountAtPoll == changeCount) {
                                onPollCompleted(path, result);
                            }
                            listener.onPollEnded();
                        });
    }

    /**
     * Returns whether a poll is due. A target whose announcements prove its liveness is polled only
     * while it is down or when its load reports or announcements have become too old.
     */
    private boolean needsPoll(long nowNanos) {
        if (!protocol.announcementProvesLiveness()) {
            return true;
        }
        if (draining || replaced) {
            return false;
        }
        return state == TargetState.DOWN
                || nowNanos - lastLoadNanos > IDLE_POLL_INTERVAL_NANOS
                || nowNanos - lastAliveNanos > ANNOUNCEMENT_TIMEOUT_NANOS;
    }

    private void onPollCompleted(String path, AsyncResult<PollAnswer> result) {
        if (result.failed()) {
            if (result.cause() instanceof ConnectException) {
                onUnreachable();
            } else {
                onFailedPoll();
            }
            return;
        }
        PollResult pollResult = protocol.readPoll(path, result.result());
        if (isOtherProcess(pollResult)) {
            onReplaced(pollResult.incarnation().orElseThrow());
            return;
        }
        lastLoadNanos = System.nanoTime();
        protocol.loadOf(result.result().headers()).ifPresent(listener::onLoad);
        switch (pollResult.kind()) {
            case UNKNOWN_PATH -> {
                pollPathIndex++;
                tick();
            }
            case MALFORMED -> {
                stateLog.write(LogEvent.POLL_MALFORMED, announcement);
                onFailedPoll();
            }
            case FAILING -> onUnhealthy();
            default -> onHealthy(pollResult);
        }
    }

    /**
     * Returns whether another process than the announced one answered a poll. Its answer does not
     * tell its service, so nothing of it may be used.
     */
    private boolean isOtherProcess(PollResult pollResult) {
        return protocol.announcementProvesLiveness()
                && announcement.isOtherProcess(pollResult.incarnation());
    }

    private void onReplaced(String found) {
        replaced = true;
        stateLog.onReplaced(announcement, found);
        if (state != TargetState.DOWN) {
            goDown();
            reportCrash();
        }
    }

    /** Ignores a failing health check while the target still announces itself as ready. */
    private void onUnhealthy() {
        boolean announcesItself =
                protocol.announcementProvesLiveness()
                        && state != TargetState.DOWN
                        && System.nanoTime() - lastAliveNanos <= ANNOUNCEMENT_TIMEOUT_NANOS;
        if (!announcesItself) {
            onFailedPoll();
        }
    }

    private void onHealthy(PollResult pollResult) {
        failedPolls = 0;
        lastAliveNanos = System.nanoTime();
        Optional<String> reported = pollResult.incarnation();
        boolean restarted =
                state != TargetState.DOWN
                        && reportedIncarnation.isPresent()
                        && reported.isPresent()
                        && !reported.equals(reportedIncarnation);
        reportedIncarnation = reported;
        // A poll may report fewer slots, while the target sheds load, but never more than
        // announced.
        if (pollResult.slots().isPresent() && pollResult.slots().get() > 0) {
            slots = Math.min(announcement.slots(), pollResult.slots().get());
        }
        if (restarted) {
            onRestarted();
        }
        boolean nowCold = pollResult.cold().orElse(announcement.cold());
        boolean nowDraining = pollResult.draining().orElse(announcement.draining());
        cold = state == TargetState.DOWN ? nowCold : cold;
        draining = state == TargetState.DOWN ? nowDraining : draining;
        goUp();
        setColdAndDraining(nowCold, nowDraining);
    }

    private void onFailedPoll() {
        failedPolls++;
        if (failedPolls >= FAILED_POLLS_UNTIL_DOWN && state != TargetState.DOWN) {
            stateLog.onDown(announcement, "polls");
            goDown();
        }
    }

    private void onUnreachable() {
        if (state != TargetState.DOWN) {
            stateLog.onDown(announcement, "refused");
            goDown();
            reportCrash();
        }
    }

    private void reportCrash() {
        if (!crashReported) {
            crashReported = true;
            listener.onCrash();
        }
    }

    private void goDown() {
        if (state != TargetState.DOWN) {
            changeState(TargetState.DOWN);
        }
    }

    private void goUp() {
        if (state == TargetState.DOWN) {
            // The target has lost its warm state.
            incarnation++;
            crashReported = false;
            stateLog.onUp(announcement, incarnation);
            publishCapacity();
        }
    }

    private void setColdAndDraining(boolean nowCold, boolean nowDraining) {
        boolean turnedCold = nowCold && !cold;
        boolean turnedDraining = nowDraining && !draining;
        cold = nowCold;
        draining = nowDraining;
        if (state == TargetState.DOWN) {
            return;
        }
        if (turnedCold) {
            stateLog.write(LogEvent.TARGET_COLD, announcement);
        }
        if (turnedDraining) {
            stateLog.write(LogEvent.TARGET_DRAINING, announcement);
        }
        publishCapacity();
    }

    private void publishCapacity() {
        listener.onCapacity(
                new TargetCapacity(
                        slots,
                        TargetClient.callConnections(announcement.connections()),
                        announcement.coldSlots(),
                        cold,
                        incarnation));
        TargetState next =
                draining ? TargetState.DRAINING : cold ? TargetState.COLD : TargetState.WARM;
        if (next != state) {
            changeState(next);
        }
    }

    private void changeState(TargetState next) {
        state = next;
        stateVersion++;
        listener.onState(state);
    }
}
