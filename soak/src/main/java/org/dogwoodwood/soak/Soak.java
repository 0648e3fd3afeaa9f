package org.dogwoodwood.soak;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.net.http.HttpClient;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.dogwoodwood.node.settings.Endpoint;
import org.dogwoodwood.standins.store.StandinStore;

/** Plays a soak: starts a store, targets and nodes, sends requests and checks the answers. */
final class Soak {

    private static final List<String> SERVICES = List.of("books", "films");
    private static final int HEARTBEAT_MILLIS = 500;
    private static final int START_SECONDS = 30;
    private static final int READY_CHECK_MILLIS = 100;
    // Lets the nodes learn about each other's targets.
    private static final int SETTLE_MILLIS = 2_000;
    // Longer than the longest deadline of a request.
    private static final int LAST_RUNS_MILLIS = 2_500;

    private final SoakOptions options;
    private final Path folder;
    private final Vertx vertx = Vertx.vertx();
    private final HttpClient client = HttpClient.newHttpClient();
    private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(2);
    private final Counts counts = new Counts();
    private final AnswerLog log = new AnswerLog();
    private final Evidence evidence = new Evidence(counts, log);
    private final List<SoakVm> vms = new ArrayList<>();
    private final List<StutteringTarget> targets = new ArrayList<>();

    private Soak(SoakOptions options, Path folder) {
        this.options = options;
        this.folder = folder;
    }

    /**
     * Plays a soak.
     *
     * @param folder receives the settings and logs of the nodes
     * @throws IOException if a process cannot be started, or does not become ready
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
        StandinStore store =
                StandinStore.start(vertx).toCompletionStage().toCompletableFuture().join();
        store.put("keyed.op", "config", SoakConfiguration.of(SERVICES));
        Endpoint storeAddress = Endpoint.of("127.0.0.1", store.port());
        FreePorts ports = new FreePorts();
        for (int number = 0; number < SERVICES.size() * options.targetsPerService(); number++) {
            String service = SERVICES.get(number % SERVICES.size());
            SoakVm vm =
                    SoakVm.create(
                            number, service, ports, storeAddress, folder, options.nodeClassPath());
            vms.add(vm);
            targets.add(
                    StutteringTarget.start(
                            vm.name(), vm.target().port(), options, log, counts, timers));
            vm.startNode();
            var unused =
                    timers.scheduleAtFixedRate(
                            () -> vm.sendHeartbeat(client),
                            0,
                            HEARTBEAT_MILLIS,
                            TimeUnit.MILLISECONDS);
        }
        awaitReady();
        Thread.sleep(SETTLE_MILLIS);
    }

    private void awaitReady() throws IOException, InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(START_SECONDS);
        for (SoakVm vm : vms) {
            while (!vm.isReady(client)) {
                if (System.nanoTime() > endNanos) {
                    throw new IOException(vm.name() + " is not ready; its log is in " + folder);
                }
                Thread.sleep(READY_CHECK_MILLIS);
            }
        }
    }

    private void play() throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(options.seconds());
        SplittableRandom random = new SplittableRandom(options.seed());
        List<Thread> threads = new ArrayList<>();
        SplittableRandom troubleRandom = random.split();
        if (options.nodeTrouble()) {
            NodeTrouble trouble = new NodeTrouble(vms, troubleRandom, counts);
            threads.add(Daemons.start("trouble", () -> trouble.run(endNanos)));
        }
        for (SoakVm vm : vms) {
            for (int number = 0; number < options.clientsPerNode(); number++) {
                CheckingClient checking =
                        new CheckingClient(
                                vm.name() + "-" + number,
                                vm.name(),
                                vm.callers(),
                                SERVICES,
                                evidence,
                                random.split());
                threads.add(Daemons.start("client", () -> checking.run(endNanos)));
            }
        }
        for (Thread thread : threads) {
            thread.join();
        }
        Thread.sleep(LAST_RUNS_MILLIS);
    }

    private SoakResult result() {
        List<Violation> violations = new ArrayList<>(evidence.violations());
        violations.addAll(AnswerChecker.check(log, evidence.answers(), counts));
        return new SoakResult(counts.all(), violations);
    }

    private void stop() throws IOException, InterruptedException {
        timers.shutdownNow();
        for (SoakVm vm : vms) {
            vm.node().kill();
        }
        for (StutteringTarget target : targets) {
            target.stop();
        }
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }
}
