package org.dogwoodwood.soak;

import java.io.IOException;
import java.net.http.HttpClient;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The target of a VM, whose processes crash and are started again.
 *
 * <p>A target takes requests that crash it, too: it ends when it begins to run one of them.
 */
final class CrashingTarget {

    static final int SLOTS = 18;

    private static final int HEARTBEAT_MILLIS = 1_500;
    private static final int OWN_DOWN_MILLIS = 1_500;

    private final SoakVm vm;
    private final HttpClient client;
    private final ScheduledExecutorService timers;
    private final ReturnWatch watch;
    private final Counts counts;
    private final AtomicLong runs = new AtomicLong();
    private volatile int workMillis;
    private volatile TargetProcess process;
    private volatile long clockSkewMillis;
    private int processes;
    private boolean stopped;

    /**
     * Creates a target without a process.
     *
     * @param watch learns of crashes and returns
     */
    CrashingTarget(
            SoakVm vm,
            HttpClient client,
            ScheduledExecutorService timers,
            ReturnWatch watch,
            Counts counts) {
        this.vm = vm;
        this.client = client;
        this.timers = timers;
        this.watch = watch;
        this.counts = counts;
    }

    SoakVm vm() {
        return vm;
    }

    /** Returns how many requests all processes have begun to run. */
    long runs() {
        return runs.get();
    }

    int workMillis() {
        return workMillis;
    }

    /** Sets how long a request runs. */
    void setWorkMillis(int millis) {
        workMillis = millis;
    }

    /** Sets by how much the clock of the VM differs from that of this process. */
    void setClockSkewMillis(long millis) {
        clockSkewMillis = millis;
    }

    boolean isUp() {
        return process != null;
    }

    /**
     * Starts a process, unless there is one.
     *
     * @param sameName whether it has the name of the first process of the VM
     */
    synchronized void start(boolean sameName) throws IOException {
        if (process != null || stopped) {
            return;
        }
        processes++;
        String instance = vm.name() + (sameName ? "" : "-" + processes);
        long startedMillis = System.currentTimeMillis() + clockSkewMillis;
        TargetProcess started = TargetProcess.start(this, instance, startedMillis);
        process = started;
        counts.add("target: started");
        watch.onDisturbed();
        sendHeartbeats(started);
    }

    /** Ends the process without notice: its port and all its connections close. */
    synchronized Optional<TargetProcess> crash() throws IOException {
        TargetProcess crashed = process;
        if (crashed == null) {
            return Optional.empty();
        }
        process = null;
        crashed.close();
        counts.add("target: crashed");
        watch.onDisturbed();
        return Optional.of(crashed);
    }

    /** Lets the process answer nothing, with its connections open. */
    void hang() {
        Optional.ofNullable(process).ifPresent(TargetProcess::hang);
    }

    /** Lets the process say that it leaves. */
    void drain() {
        Optional.ofNullable(process)
                .ifPresent(
                        leaving -> {
                            leaving.setDraining();
                            sendHeartbeat(leaving, leaving.nextSequence(), true);
                        });
    }

    /** Crashes at a request that crashes targets, and returns by itself after a while. */
    void crashAt(String request) throws IOException {
        watch.onCrashingRequest(request);
        if (crash().isPresent()) {
            TroubleStep step = () -> start(false);
            var unused =
                    timers.schedule(step.counting(counts), OWN_DOWN_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** Ends the process for good. */
    synchronized void stop() throws IOException {
        stopped = true;
        crash();
    }

    void onRun() {
        runs.incrementAndGet();
    }

    /** Sends a heartbeat of a process, which may have ended since. */
    void sendHeartbeat(TargetProcess sender, int sequence, boolean draining) {
        vm.sendHeartbeat(
                client, SLOTS, sender.instance(), sender.startedMillis(), sequence, draining);
    }

    private void sendHeartbeats(TargetProcess sender) {
        if (sender == process) {
            sendHeartbeat(sender, sender.nextSequence(), sender.isDraining());
            var unused =
                    timers.schedule(
                            () -> sendHeartbeats(sender), HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS);
        }
    }
}
