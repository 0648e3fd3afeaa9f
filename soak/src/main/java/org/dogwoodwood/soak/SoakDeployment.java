package org.dogwoodwood.soak;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.net.http.HttpClient;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.dogwoodwood.node.settings.Endpoint;
import org.dogwoodwood.standins.store.StandinStore;

/** The store and the VMs of a soak, with the processes of the nodes. */
final class SoakDeployment {

    private static final int TIMER_THREADS = 8;
    private static final int READY_CHECK_MILLIS = 100;
    // Longer than it takes until a node breaks STUCK or NOT_STARTED.
    private static final int READY_MILLIS =
            LifeChecker.GRACE_MILLIS + LifeChecker.START_MILLIS + 5_000;

    private final Vertx vertx = Vertx.vertx();
    private final HttpClient client = HttpClient.newHttpClient();
    private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(TIMER_THREADS);
    private final List<SoakVm> vms = new ArrayList<>();
    private final List<Thread> watches = new ArrayList<>();
    private final LifeChecker lifeChecker;
    private final StoreTrouble store;

    private SoakDeployment(SoakOptions options, Evidence evidence) {
        this.lifeChecker = new LifeChecker(evidence);
        this.store = new StoreTrouble(startStore(), options.services());
    }

    /**
     * Starts a store and creates the VMs; no node is started.
     *
     * @param folder receives the settings and logs of the nodes
     * @param hangups when processes get SIGHUP around their start
     */
    static SoakDeployment create(
            SoakOptions options, Path folder, HangupPolicy hangups, Evidence evidence)
            throws IOException {
        SoakDeployment deployment = new SoakDeployment(options, evidence);
        NodeSupport support =
                new NodeSupport(
                        options.command(),
                        deployment.lifeChecker,
                        hangups,
                        deployment.timers,
                        evidence.counts(),
                        options.seed());
        deployment.createVms(options, folder, support);
        return deployment;
    }

    /** Starts the nodes, and waits until each of them has been ready or has broken a rule. */
    void startNodes() throws IOException, InterruptedException {
        for (SoakVm vm : vms) {
            vm.startNode();
            watches.add(new ReadinessWatch(vm, store, lifeChecker, client).start());
        }
        awaitReady();
    }

    /** Waits until each node has been ready, or has broken a rule of its processes. */
    void awaitReady() throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_MILLIS);
        for (SoakVm vm : vms) {
            while (!vm.isReady(client) && System.nanoTime() < endNanos) {
                Thread.sleep(READY_CHECK_MILLIS);
            }
        }
    }

    /** Ends all processes and the store. */
    void stop() throws IOException {
        watches.forEach(Thread::interrupt);
        timers.shutdownNow();
        for (SoakVm vm : vms) {
            vm.node().shutDown();
        }
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    List<SoakVm> vms() {
        return vms;
    }

    StoreTrouble store() {
        return store;
    }

    HttpClient client() {
        return client;
    }

    ScheduledExecutorService timers() {
        return timers;
    }

    private StandinStore startStore() {
        return StandinStore.start(vertx).toCompletionStage().toCompletableFuture().join();
    }

    private void createVms(SoakOptions options, Path folder, NodeSupport support)
            throws IOException {
        Endpoint storeAddress = Endpoint.of("127.0.0.1", store.port());
        FreePorts ports = new FreePorts();
        for (String service : options.services()) {
            int targets = options.targets().get(options.services().indexOf(service));
            for (int i = 0; i < targets; i++) {
                vms.add(SoakVm.create(vms.size(), service, ports, storeAddress, folder, support));
            }
        }
    }
}
