package org.dogwoodwood.node.guard;

import io.vertx.core.AsyncResult;
import io.vertx.core.Vertx;
import java.net.ConnectException;
import java.util.List;
import java.util.Optional;
import java.util.function.UnaryOperator;
import org.dogwoodwood.core.admission.TargetCapacity;
import org.dogwoodwood.core.measurement.MeasurementBudget;
import org.dogwoodwood.core.model.TargetState;
import org.dogwoodwood.node.logging.EventLog;
import org.dogwoodwood.node.logging.LogEvent;

/**
 * Watches the target beside this node by polls within a budget and by how its calls end; used on
 * the traffic loop only.
 */
final class TargetMonitor {

    /** What the guard is told of its target. */
    interface Listener {

        /** The capacity of the target has changed. */
        void onCapacity(TargetCapacity capacity);

        /** The state of the target has changed. */
        void onState(TargetState state);

        /** The target has told its load. */
        void onCondition(TargetCondition condition);

        /** A poll has ended, whatever its result. */
        void onPolled();

        /** The target has crashed or restarted without warning. */
        void onCrash();
    }

    private static final int TICK_MILLIS = 100;
    private static final int FAILED_POLLS_UNTIL_DOWN = 3;

    // Three announcements at their usual distance of 1.5 s.
    private static final long SILENCE_NANOS = 4_500_000_000L;

    // A target that gets no calls is still asked whether it lives.
    private static final long IDLE_POLL_NANOS = 1_000_000_000L;

    private final Vertx vertx;
    private final TargetProtocol protocol;
    private final UnaryOperator<String> healthPathOf;
    private final MeasurementBudget budget;
    private final EventLog log;
    private final Listener listener;
    private TargetAnnouncement announcement;
    // Polls that began before the last change tell what the target was then.
    private long changes;
    private TargetClient client;
    private TargetState state = TargetState.DOWN;
    private boolean cold;
    private boolean draining;
    private int slots;
    private long incarnation = 1;
    private Optional<String> reportedIncarnation = Optional.empty();
    private int pollPath;
    private boolean polling;
    private int failedPolls;
    private long heardNanos = System.nanoTime();
    private long conditionNanos = System.nanoTime();
    private boolean tellsSpeed;
    private long polls;

    TargetMonitor(
            Vertx vertx,
            TargetProtocol protocol,
            UnaryOperator<String> healthPathOf,
            MeasurementBudget budget,
            EventLog log,
            Listener listener) {
        this.vertx = vertx;
        this.protocol = protocol;
        this.healthPathOf = healthPathOf;
        this.budget = budget;
        this.log = log;
        this.listener = listener;
    }

    void start() {
        vertx.setPeriodic(TICK_MILLIS, ignored -> tick());
    }

    /** Takes in an announcement; the first poll that the target answers brings it into service. */
    void onAnnouncement(TargetAnnouncement next) {
        boolean sameAddress =
                announcement != null
                        && announcement.address().equals(next.address())
                        && announcement.connections() == next.connections();
        boolean restarted = isOtherProcess(next);
        boolean changed = !next.equals(announcement);
        announcement = next;
        slots = next.slots();
        if (!sameAddress) {
            if (client != null) {
                client.close();
            }
            client = TargetClient.create(vertx, protocol, next.address(), next.connections(), log);
            reportedIncarnation = Optional.empty();
            tellsSpeed = false;
            pollPath = 0;
            goDown();
        } else if (restarted) {
            onRestarted();
        }
        if (changed) {
            changes++;
            logAnnouncement(next);
        }
        if (protocol.announcementShowsLife()) {
            onAnnouncedAlive(next);
        } else {
            setConditions(next.cold(), next.draining());
            tick();
        }
    }

    private void logAnnouncement(TargetAnnouncement next) {
        log.write(
                LogEvent.TARGET_ANNOUNCED,
                "service",
                next.service(),
                "address",
                next.address(),
                "slots",
                next.slots(),
                "cold",
                next.cold(),
                "draining",
                next.draining());
    }

    private void onAnnouncedAlive(TargetAnnouncement next) {
        failedPolls = 0;
        heardNanos = System.nanoTime();
        if (state == TargetState.DOWN) {
            cold = next.cold();
            draining = next.draining();
            goUp();
        }
        setConditions(next.cold(), next.draining());
    }

    private boolean isOtherProcess(TargetAnnouncement next) {
        return announcement != null
                && (differ(next.instance(), announcement.instance())
                        || differ(next.startedAtMillis(), announcement.startedAtMillis()));
    }

    private static <T> boolean differ(Optional<T> one, Optional<T> other) {
        return one.isPresent() && other.isPresent() && !one.equals(other);
    }

    private void onRestarted() {
        log.write(LogEvent.TARGET_CRASHED, "address", announcement.address());
        goDown();
        listener.onCrash();
    }

    /** Takes the target for cold until it announces otherwise. */
    void assumeCold() {
        if (announcement != null) {
            changes++;
            setConditions(true, draining);
        }
    }

    /** Takes in how a call ended. */
    void onCallEnded(TargetResult.Kind kind) {
        switch (kind) {
            case ANSWERED -> failedPolls = 0;
            case CONNECT_FAILED -> onUnreachable();
            // The next poll tells whether the target has crashed.
            case BROKEN, CONNECTION_LOST -> tick();
            default -> {
                // The guard's own decision tells nothing of the target.
            }
        }
    }

    void onCall() {
        budget.onCall();
    }

    /** Takes in that the target has told its load beside an answer. */
    void onCondition(long nowNanos) {
        conditionNanos = nowNanos;
        tellsSpeed = true;
    }

    /** Returns whether the target tells its speed, but has not done so for a time. */
    boolean isSpeedOlderThan(long ageNanos, long nowNanos) {
        return tellsSpeed && !draining && speedAgeNanos(nowNanos) > ageNanos;
    }

    /** Returns how long ago the target told its load, in nanoseconds. */
    long speedAgeNanos(long nowNanos) {
        return nowNanos - conditionNanos;
    }

    /** Polls the target now, within the budget; returns whether a poll is under way. */
    boolean ask() {
        if (client != null && !polling && budget.tryPoll(System.nanoTime())) {
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

    int slots() {
        return slots;
    }

    /** Returns how many polls have been sent. */
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
        long knownChanges = changes;
        List<String> paths = protocol.pollPaths(healthPathOf.apply(announcement.service()));
        String path = paths.get(Math.min(pollPath, paths.size() - 1));
        polled.poll(path)
                .onComplete(
                        result -> {
                            polling = false;
                            if (polled == client && knownChanges == changes) {
                                onPolled(path, result);
                            }
                            listener.onPolled();
                        });
    }

    /** A target whose announcements show that it runs is polled when it tells nothing else. */
    private boolean needsPoll(long nowNanos) {
        if (!protocol.announcementShowsLife()) {
            return true;
        }
        if (draining) {
            return false;
        }
        return state == TargetState.DOWN
                || nowNanos - conditionNanos > IDLE_POLL_NANOS
                || nowNanos - heardNanos > SILENCE_NANOS;
    }

    private void onPolled(String path, AsyncResult<PollAnswer> result) {
        if (result.failed()) {
            if (isRefused(result.cause())) {
                onUnreachable();
            } else {
                onFailedPoll();
            }
            return;
        }
        PollReading reading = protocol.readPoll(path, result.result());
        conditionNanos = System.nanoTime();
        protocol.conditionOf(result.result().headers()).ifPresent(listener::onCondition);
        switch (reading.kind()) {
            case UNKNOWN_PATH -> {
                pollPath++;
                tick();
            }
            case MALFORMED -> {
                log.write(LogEvent.POLL_MALFORMED, "address", announcement.address());
                onFailedPoll();
            }
            case FAILING -> onFailingHealth();
            default -> onHealthy(reading);
        }
    }

    /** Health may say less than a target that still announces itself as ready. */
    private void onFailingHealth() {
        boolean announcesItself =
                protocol.announcementShowsLife()
                        && state != TargetState.DOWN
                        && System.nanoTime() - heardNanos <= SILENCE_NANOS;
        if (!announcesItself) {
            onFailedPoll();
        }
    }

    private void onHealthy(PollReading load) {
        failedPolls = 0;
        heardNanos = System.nanoTime();
        Optional<String> reported = load.incarnation();
        boolean restarted =
                state != TargetState.DOWN
                        && reportedIncarnation.isPresent()
                        && reported.isPresent()
                        && !reported.equals(reportedIncarnation);
        reportedIncarnation = reported;
        // A target may announce fewer slots while it sheds load, never more than it announced.
        if (load.slots().isPresent() && load.slots().get() > 0) {
            slots = Math.min(announcement.slots(), load.slots().get());
        }
        if (restarted) {
            onRestarted();
        }
        if (reported.isPresent() && protocol.announcementShowsLife()) {
            announcement = announcement.withInstance(reported.get());
        }
        boolean nowCold = load.cold().orElse(announcement.cold());
        boolean nowDraining = load.draining().orElse(announcement.draining());
        cold = state == TargetState.DOWN ? nowCold : cold;
        draining = state == TargetState.DOWN ? nowDraining : draining;
        goUp();
        setConditions(nowCold, nowDraining);
    }

    private void onFailedPoll() {
        failedPolls++;
        if (failedPolls >= FAILED_POLLS_UNTIL_DOWN && state != TargetState.DOWN) {
            log.write(LogEvent.TARGET_DOWN, "address", announcement.address(), "reason", "polls");
            goDown();
        }
    }

    private void onUnreachable() {
        if (state != TargetState.DOWN) {
            log.write(LogEvent.TARGET_DOWN, "address", announcement.address(), "reason", "refused");
            goDown();
            listener.onCrash();
        }
    }

    private void goDown() {
        if (state != TargetState.DOWN) {
            state = TargetState.DOWN;
            listener.onState(state);
        }
    }

    private void goUp() {
        if (state == TargetState.DOWN) {
            // Whatever was warm in the target is lost.
            incarnation++;
            log.write(
                    LogEvent.TARGET_UP,
                    "address",
                    announcement.address(),
                    "incarnation",
                    incarnation);
            publish();
        }
    }

    private void setConditions(boolean nowCold, boolean nowDraining) {
        boolean turnedCold = nowCold && !cold;
        boolean turnedDraining = nowDraining && !draining;
        cold = nowCold;
        draining = nowDraining;
        if (state == TargetState.DOWN) {
            return;
        }
        if (turnedCold) {
            log.write(LogEvent.TARGET_COLD, "address", announcement.address());
        }
        if (turnedDraining) {
            log.write(LogEvent.TARGET_DRAINING, "address", announcement.address());
        }
        publish();
    }

    private void publish() {
        listener.onCapacity(
                new TargetCapacity(
                        slots,
                        Math.max(1, announcement.connections() - 1),
                        announcement.coldSlots(),
                        cold,
                        incarnation));
        TargetState next =
                draining ? TargetState.DRAINING : cold ? TargetState.COLD : TargetState.WARM;
        if (next != state) {
            state = next;
            listener.onState(state);
        }
    }

    private static boolean isRefused(Throwable failure) {
        return failure instanceof ConnectException;
    }
}
