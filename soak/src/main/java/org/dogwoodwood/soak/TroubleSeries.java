package org.dogwoodwood.soak;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

/** Plays kinds of trouble one after the other, each on its own thread, so that they overlap. */
final class TroubleSeries {

    private static final int TOTAL_WEIGHT =
            Arrays.stream(TroubleKind.values()).mapToInt(TroubleKind::weight).sum();

    private final List<SoakVm> vms;
    private final StoreTrouble store;
    private final int gapMillis;
    private final SplittableRandom random;
    private final Counts counts;
    private final List<Thread> playing = new ArrayList<>();

    /**
     * Creates a series that is not played.
     *
     * @param gapMillis the mean time between two beginnings
     */
    TroubleSeries(
            List<SoakVm> vms,
            StoreTrouble store,
            int gapMillis,
            SplittableRandom random,
            Counts counts) {
        this.vms = vms;
        this.store = store;
        this.gapMillis = gapMillis;
        this.random = random;
        this.counts = counts;
    }

    /** Begins trouble until a point in time of {@link System#nanoTime()}, and waits for its end. */
    void run(long endNanos) {
        try {
            while (System.nanoTime() < endNanos) {
                begin(drawKind());
                Thread.sleep(random.nextInt(2 * gapMillis));
            }
            for (Thread thread : playing) {
                thread.join();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void begin(TroubleKind kind) {
        counts.add("trouble: " + kind);
        TroubleScene scene = new TroubleScene(vms, store, random.split());
        TroubleStep step = () -> kind.play(scene);
        playing.add(Daemons.start("trouble " + kind, step.counting(counts)));
    }

    private TroubleKind drawKind() {
        int die = random.nextInt(TOTAL_WEIGHT);
        for (TroubleKind kind : TroubleKind.values()) {
            die -= kind.weight();
            if (die < 0) {
                return kind;
            }
        }
        throw new IllegalStateException("The weights do not sum up.");
    }
}
