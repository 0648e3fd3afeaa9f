package org.dogwoodwood.soak;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * Plays rounds of trouble in which targets crash and return, each followed by a calm time in which
 * all requests must be served and all targets be used.
 */
final class ReturnSoak {

    /** How long after the last return of a target all requests must be served. */
    private static final long SETTLE_NANOS = TimeUnit.SECONDS.toNanos(5);

    private static final int WINDOW_MILLIS = 4_000;
    private static final int MAX_CALM_MILLIS = 40_000;
    private static final int CHECK_MILLIS = 50;

    /** In a calm time no request fails; the rest is for a request that crosses the last change. */
    private static final int MIN_SERVED_PERCENT = 75;

    private static final int MAX_TROUBLES = 4;
    private static final int MAX_GAP_MILLIS = 1_500;
    private static final int MIN_INTERVAL_MILLIS = 100;

    /** The share of the slots that the clients use, so that no request is refused for load. */
    private static final double LOAD = 0.35;

    private static final int CRASHER_MILLIS = 500;

    /** Short and long requests; the long ones take as long as a target is up between crashes. */
    private static final List<Integer> WORK_MILLIS = List.of(5, 60, 300, 600);

    private final SplittableRandom random;
    private final Counts counts = new Counts();
    private final Evidence evidence = new Evidence(counts, new AnswerLog());
    private final SoakDeployment deployment;
    private final ReturnWatch watch = new ReturnWatch();
    private final List<CrashingTarget> targets = new ArrayList<>();
    private final List<SteadyClient> clients = new ArrayList<>();
    private final List<Thread> senders = new ArrayList<>();
    private final Map<CrashingTarget, Long> runsBefore = new HashMap<>();

    private ReturnSoak(SoakOptions options, Path folder) throws IOException {
        this.random = new SplittableRandom(options.seed());
        this.deployment = SoakDeployment.create(options, folder, HangupPolicy.NEVER, evidence);
    }

    /**
     * Plays a soak.
     *
     * @param folder receives the settings and logs of the nodes
     * @throws IOException if a process cannot be started
     */
    static SoakResult run(SoakOptions options, Path folder)
            throws IOException, InterruptedException {
        ReturnSoak soak = new ReturnSoak(options, folder);
        try {
            soak.start();
            long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(options.seconds());
            for (int round = 1; System.nanoTime() < endNanos; round++) {
                soak.playRound(round);
            }
            soak.watch.crashersThatWentOn().forEach(soak.evidence::add);
            return new SoakResult(soak.counts.all(), soak.evidence.violations());
        } finally {
            soak.stop();
        }
    }

    private void start() throws IOException, InterruptedException {
        deployment.startNodes();
        for (SoakVm vm : deployment.vms()) {
            CrashingTarget target =
                    new CrashingTarget(vm, deployment.client(), deployment.timers(), watch, counts);
            targets.add(target);
            target.start(true);
            for (SteadyKind kind : SteadyKind.values()) {
                startClients(vm, kind);
            }
        }
    }

    /** Starts the clients at a VM that send a kind of request to each service. */
    private void startClients(SoakVm vm, SteadyKind kind) {
        for (String service : services()) {
            SteadyClient started = new SteadyClient(vm, service, kind);
            clients.add(started);
            senders.add(started.start());
        }
    }

    private List<String> services() {
        return deployment.vms().stream().map(SoakVm::service).distinct().toList();
    }

    private void playRound(int round) throws InterruptedException {
        int workMillis = WORK_MILLIS.get(random.nextInt(WORK_MILLIS.size()));
        targets.forEach(target -> target.setWorkMillis(workMillis));
        clients.forEach(each -> each.setIntervalMillis(intervalMillis(each, workMillis)));
        Thread crasher = random.nextBoolean() ? startCrasher(round) : null;
        List<ReturnTrouble> played = playTroubles();
        boolean calm = awaitCalm();
        counts.add("round: " + (calm ? "calm" : "not calm"));
        if (calm) {
            check(
                    "round %d, %s, work %d ms, %s"
                            .formatted(
                                    round,
                                    played,
                                    workMillis,
                                    crasher == null ? "no crasher" : "a crasher"));
        }
        if (crasher != null) {
            crasher.interrupt();
            crasher.join();
        }
    }

    /** Returns the interval of a client at which all clients together use a part of the slots. */
    private int intervalMillis(SteadyClient client, int workMillis) {
        String service = client.service();
        long sendersOfService =
                clients.stream().filter(each -> each.service().equals(service)).count();
        long slots =
                targets.stream().filter(each -> each.vm().service().equals(service)).count()
                        * CrashingTarget.SLOTS;
        return (int) Math.max(MIN_INTERVAL_MILLIS, sendersOfService * workMillis / (LOAD * slots));
    }

    /** Plays a few pieces of trouble that overlap; returns when all of them are over. */
    private List<ReturnTrouble> playTroubles() throws InterruptedException {
        List<ReturnTrouble> played = new ArrayList<>();
        List<Thread> playing = new ArrayList<>();
        int number = 1 + random.nextInt(MAX_TROUBLES);
        for (int i = 0; i < number; i++) {
            ReturnTrouble trouble = ReturnTrouble.draw(random);
            TroubleScene nodes =
                    new TroubleScene(deployment.vms(), deployment.store(), random.split());
            ReturnScene scene =
                    new ReturnScene(targets, nodes, deployment.timers(), random.split());
            TroubleStep step = () -> trouble.play(scene);
            played.add(trouble);
            counts.add("trouble: " + trouble);
            playing.add(Daemons.start("trouble " + trouble, step.counting(counts)));
            Thread.sleep(random.nextInt(MAX_GAP_MILLIS));
        }
        for (Thread thread : playing) {
            thread.join();
        }
        deployment.awaitReady();
        watch.onDisturbed();
        return played;
    }

    /** Sends a request that crashes targets, again and again, each time at another node. */
    private Thread startCrasher(int round) {
        SplittableRandom draws = random.split();
        return Daemons.start("crasher", () -> crash(new CrashingKind(round), draws));
    }

    private void crash(SteadyRequest request, SplittableRandom draws) {
        List<SoakVm> vms = deployment.vms();
        String service = vms.get(draws.nextInt(vms.size())).service();
        try {
            while (true) {
                SoakVm vm = vms.get(draws.nextInt(vms.size()));
                new SteadyClient(vm, service, request).sendOne();
                Thread.sleep(CRASHER_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits until nothing has changed for a while; returns whether it came to that in time. */
    private boolean awaitCalm() throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MAX_CALM_MILLIS);
        while (System.nanoTime() < endNanos) {
            if (System.nanoTime() - watch.disturbedNanos() >= SETTLE_NANOS) {
                return true;
            }
            Thread.sleep(CHECK_MILLIS);
        }
        return false;
    }

    private void check(String what) throws InterruptedException {
        long startNanos = System.nanoTime();
        clients.forEach(SteadyClient::clear);
        targets.forEach(target -> runsBefore.put(target, target.runs()));
        Thread.sleep(WINDOW_MILLIS + SteadyClient.DEADLINE_MILLIS);
        if (watch.disturbedNanos() > startNanos) {
            counts.add("round: disturbed again");
            return;
        }
        for (SteadyClient each : clients) {
            if (each.servedPercent() < MIN_SERVED_PERCENT) {
                String text = what + ": " + each + ", answers by status " + each.statuses();
                evidence.add(new Violation(Rule.SERVED_AFTER_RETURN, text));
            }
        }
        for (CrashingTarget target : targets) {
            if (target.runs() == runsBefore.get(target)) {
                String text = what + ": target of " + target.vm().name();
                evidence.add(new Violation(Rule.RETURNED_TARGET_USED, text));
            }
        }
    }

    private void stop() throws IOException {
        senders.forEach(Thread::interrupt);
        for (CrashingTarget target : targets) {
            target.stop();
        }
        deployment.stop();
    }
}
