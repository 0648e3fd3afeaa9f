package org.dogwoodwood.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;

/** The VMs and the store that one piece of trouble meets, with its draws. */
final class TroubleScene {

    private static final int MAX_SOME = 3;
    private static final int MAX_HANGUPS = 5;
    private static final int MAX_HANGUP_GAP_MILLIS = 40;
    private static final int MAX_SUSPENDED_MILLIS = 4_000;

    private final List<SoakVm> vms;
    private final StoreTrouble store;
    private final SplittableRandom random;

    TroubleScene(List<SoakVm> vms, StoreTrouble store, SplittableRandom random) {
        this.vms = List.copyOf(vms);
        this.store = store;
        this.random = random;
    }

    StoreTrouble store() {
        return store;
    }

    List<SoakVm> all() {
        return vms;
    }

    /** Draws up to three VMs. */
    List<SoakVm> drawSome() {
        return drawVms(random.nextInt(Math.min(MAX_SOME, vms.size())) + 1);
    }

    /** Draws half of the VMs, rounded up. */
    List<SoakVm> drawHalf() {
        return drawVms((vms.size() + 1) / 2);
    }

    /** Draws a number from 0 to below a limit. */
    int draw(int limit) {
        return random.nextInt(limit);
    }

    /** Waits for a drawn time below a limit. */
    void pause(int limitMillis) throws InterruptedException {
        Thread.sleep(random.nextInt(limitMillis));
    }

    void send(NodeSignal signal, List<SoakVm> to) throws IOException {
        for (SoakVm vm : to) {
            vm.node().send(signal);
        }
    }

    void terminate(List<SoakVm> to) throws IOException {
        for (SoakVm vm : to) {
            vm.node().terminate();
        }
    }

    /** Sends SIGHUP, at times several in a row, and rewrites the settings before some of them. */
    void hangUp(List<SoakVm> to) throws IOException, InterruptedException {
        int signals = random.nextInt(MAX_HANGUPS) + 1;
        for (int i = 0; i < signals; i++) {
            for (SoakVm vm : to) {
                if (random.nextBoolean()) {
                    vm.rewriteSettings();
                }
                vm.node().hangUp();
            }
            pause(MAX_HANGUP_GAP_MILLIS);
        }
    }

    /** Suspends processes; those that are started meanwhile get a needless SIGCONT. */
    void suspend(List<SoakVm> to) throws IOException, InterruptedException {
        send(NodeSignal.SUSPEND, to);
        try {
            pause(MAX_SUSPENDED_MILLIS);
        } finally {
            send(NodeSignal.RESUME, to);
        }
    }

    private List<SoakVm> drawVms(int number) {
        List<SoakVm> shuffled = new ArrayList<>(vms);
        for (int i = shuffled.size(); i > 1; i--) {
            Collections.swap(shuffled, i - 1, random.nextInt(i));
        }
        return List.copyOf(shuffled.subList(0, number));
    }
}
