package org.dogwoodwood.soak;

import java.io.IOException;
import java.nio.file.Path;
import java.util.SplittableRandom;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Keeps a node running as the platform does: a process that has ended is started again. */
final class NodeDaemon {

    private static final String SETTINGS_VARIABLE = "DOGWOODWOOD_BOOT";
    private static final int MAX_DOWN_MILLIS = 1_000;

    private final String name;
    private final Path settings;
    private final Path folder;
    private final NodeSupport support;
    private final SplittableRandom random;
    private volatile NodeLife life;
    private int lives;
    private boolean shutDown;

    /**
     * Creates a daemon that is not started.
     *
     * @param settings the settings file
     * @param folder receives the log of each process
     */
    NodeDaemon(String name, Path settings, Path folder, NodeSupport support) {
        this.name = name;
        this.settings = settings;
        this.folder = folder;
        this.support = support;
        this.random = new SplittableRandom(support.seed() + name.hashCode());
    }

    /** Starts the first process. */
    synchronized void start() throws IOException {
        lives++;
        ProcessBuilder builder = new ProcessBuilder(support.command().words());
        builder.environment().put(SETTINGS_VARIABLE, settings.toString());
        Path log = folder.resolve(name + "-process-" + lives + ".log");
        NodeLife started = NodeLife.start(builder, name + ", process " + lives, log);
        life = started;
        support.counts().add("process: started");
        var unused = started.exitStatus().thenAccept(status -> onExit(started, status));
        support.hangups().onStart(this, started, random.split(), support.counts());
    }

    /** Returns the process that was started last, whether or not it is alive. */
    NodeLife life() {
        return life;
    }

    /** Sends a signal to the current process, if it is alive. */
    void send(NodeSignal signal) throws IOException {
        if (life.send(signal)) {
            support.counts().add("signal: " + signal);
        }
    }

    /** Sends SIGHUP, if a process at this point of its start can withstand it. */
    void hangUp() throws IOException {
        if (support.hangups().allowedNow(life)) {
            send(NodeSignal.HANGUP);
        }
    }

    /** Stops the process as the platform does: SIGTERM, and SIGKILL after the grace time. */
    void terminate() throws IOException {
        NodeLife stopping = life;
        if (!stopping.history().isTerminated()) {
            schedule(() -> endGrace(stopping), LifeChecker.GRACE_MILLIS);
        }
        send(NodeSignal.TERMINATE);
    }

    /** Ends the process; none is started again. */
    synchronized void shutDown() throws IOException {
        shutDown = true;
        if (life != null) {
            life.send(NodeSignal.KILL);
        }
    }

    private void onExit(NodeLife ended, int status) {
        support.checker().checkEnd(ended.history(), status, ended.logEnd(), System.nanoTime());
        int downMillis;
        synchronized (this) {
            if (shutDown) {
                return;
            }
            downMillis = random.nextInt(MAX_DOWN_MILLIS);
        }
        schedule(this::startAgain, downMillis);
    }

    private synchronized void startAgain() throws IOException {
        if (!shutDown) {
            start();
        }
    }

    private void endGrace(NodeLife stopping) throws IOException {
        if (stopping.isAlive()) {
            long nowNanos = System.nanoTime();
            support.checker().checkGrace(stopping.history(), stopping.logEnd(), nowNanos);
            stopping.send(NodeSignal.KILL);
        }
    }

    private void schedule(TroubleStep step, int millis) {
        ScheduledExecutorService timers = support.timers();
        try {
            var unused =
                    timers.schedule(step.counting(support.counts()), millis, TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            support.counts().add("process: not started again at the end of the soak");
        }
    }
}
