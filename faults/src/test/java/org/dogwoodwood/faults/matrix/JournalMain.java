package org.dogwoodwood.faults.matrix;

import java.util.List;
import org.dogwoodwood.faults.simulation.Policies;

/** Prints the journals of pairs of faults, so that a test can compare them between processes. */
public final class JournalMain {

    private JournalMain() {}

    /** Prints the events of the pair of faults that belongs to each seed in the arguments. */
    public static void main(String[] seeds) {
        for (String text : seeds) {
            long seed = Long.parseLong(text);
            List<FaultMatrix.Cell> pair = FaultMatrixMain.pairForSeed(seed);
            FaultRun.run(pair, seed, new Policies())
                    .journal()
                    .events()
                    .forEach(System.out::println);
        }
    }
}
