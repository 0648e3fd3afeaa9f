package org.dogwoodwood.soak;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** The targets that one piece of trouble meets, with its draws. */
final class ReturnScene {

    private static final int MIN_DOWN_MILLIS = 200;
    private static final int MAX_DOWN_MILLIS = 4_500;
    private static final int MAX_LATE_MILLIS = 4_000;

    private final List<CrashingTarget> targets;
    private final TroubleScene nodes;
    private final ScheduledExecutorService timers;
    private final SplittableRandom random;

    ReturnScene(
            List<CrashingTarget> targets,
            TroubleScene nodes,
            ScheduledExecutorService timers,
            SplittableRandom random) {
        this.targets = List.copyOf(targets);
        this.nodes = nodes;
        this.timers = timers;
        this.random = random;
    }

    /** Returns the nodes and the store. */
    TroubleScene nodes() {
        return nodes;
    }

    /** Draws a number from 0 to below a limit. */
    int draw(int limit) {
        return random.nextInt(limit);
    }

    /** Waits for a drawn time below a limit. */
    void pause(int limitMillis) throws InterruptedException {
        Thread.sleep(random.nextInt(limitMillis));
    }

    CrashingTarget drawTarget() {
        return targets.get(random.nextInt(targets.size()));
    }

    List<CrashingTarget> targetsOfOneService() {
        String service = drawTarget().vm().service();
        return targets.stream().filter(target -> target.vm().service().equals(service)).toList();
    }

    /** Crashes targets at the same moment and starts them again after the same time. */
    void crash(List<CrashingTarget> crashing) throws IOException, InterruptedException {
        for (CrashingTarget target : crashing) {
            Optional<TargetProcess> crashed = target.crash();
            if (crashed.isPresent() && random.nextBoolean()) {
                sendLateHeartbeat(target, crashed.get());
            }
        }
        Thread.sleep(random.nextInt(MIN_DOWN_MILLIS, MAX_DOWN_MILLIS));
        boolean sameName = random.nextBoolean();
        for (CrashingTarget target : crashing) {
            target.start(sameName);
        }
    }

    /** Lets a target say that it leaves. */
    void drain(CrashingTarget target) {
        target.drain();
    }

    /** Lets a target answer nothing, with its connections open. */
    void hang(CrashingTarget target) {
        target.hang();
    }

    /** Lets a heartbeat of a process that has crashed arrive later. */
    private void sendLateHeartbeat(CrashingTarget target, TargetProcess crashed) {
        int sequence = crashed.nextSequence();
        var unused =
                timers.schedule(
                        () -> target.sendHeartbeat(crashed, sequence, false),
                        random.nextInt(MAX_LATE_MILLIS),
                        TimeUnit.MILLISECONDS);
    }
}
