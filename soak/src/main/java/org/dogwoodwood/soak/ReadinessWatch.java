package org.dogwoodwood.soak;

import java.net.http.HttpClient;
import java.util.OptionalInt;

/** Asks the readiness port of a node again and again. */
final class ReadinessWatch {

    private static final int OPEN_MILLIS = 200;
    private static final int STARTING_MILLIS = 20;
    private static final int OK = 200;

    private final SoakVm vm;
    private final StoreTrouble store;
    private final LifeChecker checker;
    private final HttpClient client;

    ReadinessWatch(SoakVm vm, StoreTrouble store, LifeChecker checker, HttpClient client) {
        this.vm = vm;
        this.store = store;
        this.checker = checker;
        this.client = client;
    }

    /** Starts to watch until the thread is interrupted. */
    Thread start() {
        return Daemons.start("readiness of " + vm.name(), this::watch);
    }

    private void watch() {
        try {
            while (true) {
                NodeLife life = vm.node().life();
                probe(life);
                boolean opened = life.history().isOpened();
                Thread.sleep(opened ? OPEN_MILLIS : STARTING_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void probe(NodeLife life) throws InterruptedException {
        if (!life.isAlive()) {
            return;
        }
        OptionalInt status = vm.readinessStatus(client);
        long nowNanos = System.nanoTime();
        if (!life.isAlive() || life != vm.node().life()) {
            return;
        }
        if (status.isPresent()) {
            life.history().addProbe(status.getAsInt() == OK, nowNanos);
        }
        checker.checkStart(life.history(), store.upSinceNanos(), life.logEnd(), nowNanos);
    }
}
