package org.dogwoodwood.soak;

import java.io.IOException;
import java.util.List;
import java.util.SplittableRandom;

/** Kills, stops and pauses nodes, one at a time. */
final class NodeTrouble {

    private static final int MIN_GAP_MILLIS = 2_000;
    private static final int MAX_GAP_MILLIS = 5_000;
    private static final int MIN_PAUSE_MILLIS = 300;
    private static final int MAX_PAUSE_MILLIS = 2_000;
    private static final int MAX_DOWN_MILLIS = 1_000;
    private static final int KINDS = 4;

    private final List<SoakVm> vms;
    private final SplittableRandom random;
    private final Counts counts;

    NodeTrouble(List<SoakVm> vms, SplittableRandom random, Counts counts) {
        this.vms = vms;
        this.random = random;
        this.counts = counts;
    }

    /** Plays trouble until a point in time of {@link System#nanoTime()}; nodes are then running. */
    void run(long endNanos) {
        try {
            while (System.nanoTime() < endNanos) {
                Thread.sleep(random.nextInt(MIN_GAP_MILLIS, MAX_GAP_MILLIS));
                play(vms.get(random.nextInt(vms.size())).node());
            }
        } catch (IOException | InterruptedException e) {
            counts.add("trouble: ended by " + e);
        }
    }

    private void play(NodeDaemon node) throws IOException, InterruptedException {
        int kind = random.nextInt(KINDS);
        switch (kind) {
            case 0 -> {
                counts.add("trouble: node killed");
                node.kill();
                startAgain(node);
            }
            case 1 -> {
                counts.add("trouble: node stopped");
                node.stop();
                startAgain(node);
            }
            default -> {
                counts.add("trouble: node paused");
                node.pause(random.nextInt(MIN_PAUSE_MILLIS, MAX_PAUSE_MILLIS));
            }
        }
    }

    private void startAgain(NodeDaemon node) throws IOException, InterruptedException {
        Thread.sleep(random.nextInt(MAX_DOWN_MILLIS));
        node.start();
    }
}
