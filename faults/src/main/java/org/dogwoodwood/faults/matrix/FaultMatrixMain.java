package org.dogwoodwood.faults.matrix;

import java.io.PrintStream;
import java.util.List;
import java.util.SplittableRandom;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.dogwoodwood.faults.simulation.Policies;

/**
 * The command {@code fault-matrix}, which runs all cells of the matrix and then seeded pairs of
 * faults.
 */
public final class FaultMatrixMain {

    private static final long DEFAULT_SEED = 1;
    private static final int DEFAULT_RUNS = 100;
    private static final int USAGE = 2;

    private FaultMatrixMain() {}

    /** Runs the command; the exit status is 1 after a violation and 2 after a usage error. */
    public static void main(String[] arguments) {
        System.exit(run(arguments, System.out, System.err, new Policies()));
    }

    static int run(String[] arguments, PrintStream out, PrintStream err, Policies policies) {
        OptionParser parser = new OptionParser();
        OptionSpec<Long> seed =
                parser.accepts("seed", "the first seed")
                        .withRequiredArg()
                        .ofType(Long.class)
                        .defaultsTo(DEFAULT_SEED);
        OptionSpec<Integer> runs =
                parser.accepts("runs", "the number of pairs of faults to run")
                        .withRequiredArg()
                        .ofType(Integer.class)
                        .defaultsTo(DEFAULT_RUNS);
        OptionSpec<Void> pairsOnly = parser.accepts("pairs-only", "leave the matrix out");
        try {
            OptionSet options = parser.parse(arguments);
            long first = options.valueOf(seed);
            boolean passed = options.has(pairsOnly) || runMatrix(first, out, policies);
            passed &= runPairs(first, options.valueOf(runs), out, policies);
            return passed ? 0 : 1;
        } catch (OptionException e) {
            err.println(
                    e.getMessage() + ". Usage: fault-matrix [--seed N] [--runs N] [--pairs-only]");
            return USAGE;
        }
    }

    /** Returns the pair of faults that is derived from a seed. */
    static List<FaultMatrix.Cell> pairForSeed(long seed) {
        List<FaultMatrix.Cell> cells = FaultMatrix.cells();
        SplittableRandom random = new SplittableRandom(seed);
        return List.of(
                cells.get(random.nextInt(cells.size())), cells.get(random.nextInt(cells.size())));
    }

    private static boolean runMatrix(long seed, PrintStream out, Policies policies) {
        int failed = 0;
        List<FaultMatrix.Cell> cells = FaultMatrix.cells();
        for (FaultMatrix.Cell cell : cells) {
            failed += runAndReport(cell.toString(), seed, List.of(cell), out, policies) ? 0 : 1;
        }
        out.println("matrix: " + cells.size() + " cells, " + failed + " failed, seed " + seed);
        return failed == 0;
    }

    private static boolean runPairs(long first, int runs, PrintStream out, Policies policies) {
        int failed = 0;
        for (long seed = first; seed < first + runs; seed++) {
            List<FaultMatrix.Cell> pair = pairForSeed(seed);
            String name = pair.get(0) + ", " + pair.get(1);
            failed += runAndReport(name, seed, pair, out, policies) ? 0 : 1;
        }
        out.println("pairs: " + runs + " runs from seed " + first + ", " + failed + " failed");
        return failed == 0;
    }

    private static boolean runAndReport(
            String name,
            long seed,
            List<FaultMatrix.Cell> cells,
            PrintStream out,
            Policies policies) {
        FaultRun.Result result = FaultRun.run(cells, seed, policies);
        result.violations()
                .forEach(violation -> out.println("seed " + seed + ": " + name + ": " + violation));
        return result.violations().isEmpty();
    }
}
