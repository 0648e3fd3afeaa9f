package org.dogwoodwood.soak;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/** Plays a soak: starts a store, targets and nodes, sends requests and checks the answers. */
final class Soak {

    private static final int HEARTBEAT_MILLIS = 500;
    // Lets the nodes learn about each other's targets.
    private static final int SETTLE_MILLIS = 2_000;
    // Longer than the longest deadline of a request.
    private static final int LAST_RUNS_MILLIS = 2_500;
    private final SoakOptions options;
    private final Counts counts = new Counts();
    private final AnswerLog log = new AnswerLog();
    private final Evidence evidence = new Evidence(counts, log);
    private final SoakDeployment deployment;
    private final List<StutteringTarget> targets = new ArrayList<>();

    private Soak(SoakOptions options, Path folder) throws IOException {
        this.options = options;
        HangupPolicy hangups =
                options.troubleGapMillis() > 0 ? options.hangups() : HangupPolicy.NEVER;
        this.deployment = SoakDeployment.create(options, folder, hangups, evidence);
    }

    /**
     * Plays a soak.
     *
     * @param folder receives the settings and logs of the nodes
     * @throws IOException if a process cannot be started
     */
    static SoakResult run(SoakOptions options, Path folder)
            throws IOException, InterruptedException {
        Soak soak = new Soak(options, folder);
        try {
            soak.start();
            soak.play();
            return soak.result();
        } finally {
            soak.stop();
        }
    }

    private void start() throws IOException, InterruptedException {
        for (SoakVm vm : deployment.vms()) {
            startTarget(vm);
        }
        deployment.startNodes();
        Thread.sleep(SETTLE_MILLIS);
    }

    private void startTarget(SoakVm vm) throws IOException {
        targets.add(
                StutteringTarget.start(
                        vm.name(), vm.target().port(), options, log, counts, deployment.timers()));
        var unused =
                deployment
                        .timers()
                        .scheduleAtFixedRate(
                                () -> vm.sendHeartbeat(deployment.client()),
                                0,
                                HEARTBEAT_MILLIS,
                                TimeUnit.MILLISECONDS);
    }

    private void play() throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(options.seconds());
        SplittableRandom random = new SplittableRandom(options.seed());
        List<Thread> threads = new ArrayList<>();
        SplittableRandom troubleRandom = random.split();
        if (options.troubleGapMillis() > 0) {
            TroubleSeries trouble =
                    new TroubleSeries(
                            deployment.vms(),
                            deployment.store(),
                            options.troubleGapMillis(),
                            troubleRandom,
                            counts);
            threads.add(Daemons.start("trouble", () -> trouble.run(endNanos)));
        }
        for (SoakVm vm : deployment.vms()) {
            for (int number = 0; number < options.clientsPerNode(); number++) {
                CheckingClient checking =
                        new CheckingClient(
                                vm.name() + "-" + number,
                                vm.name(),
                                vm.callers(),
                                options.services(),
                                evidence,
                                random.split());
                threads.add(Daemons.start("client", () -> checking.run(endNanos)));
            }
        }
        for (Thread thread : threads) {
            thread.join();
        }
        Thread.sleep(LAST_RUNS_MILLIS);
        deployment.awaitReady();
    }

    private SoakResult result() {
        List<Violation> violations = new ArrayList<>(evidence.violations());
        violations.addAll(AnswerChecker.check(log, evidence.answers(), counts));
        return new SoakResult(counts.all(), violations);
    }

    private void stop() throws IOException {
        deployment.stop();
        for (StutteringTarget target : targets) {
            target.stop();
        }
    }
}
