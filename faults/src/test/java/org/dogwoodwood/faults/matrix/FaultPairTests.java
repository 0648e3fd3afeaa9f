package org.dogwoodwood.faults.matrix;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.LongStream;
import org.dogwoodwood.faults.simulation.Policies;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Verifies that the invariants hold under pairs of faults, and that a run is reproducible from its
 * seed.
 */
class FaultPairTests {

    private static final long FIRST_SEED = 1;
    private static final int RUNS = 25;

    static LongStream seeds() {
        return LongStream.range(FIRST_SEED, FIRST_SEED + RUNS);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void invariantsHoldUnderPairsOfFaults(long seed) {
        List<FaultMatrix.Cell> pair = FaultMatrixMain.pairForSeed(seed);
        FaultRun.Result result = FaultRun.run(pair, seed, new Policies());
        assertThat(result.violations()).as("seed " + seed + ": " + pair).isEmpty();
        assertThat(result.injected()).isNotEmpty();
    }

    @Test
    void sameSeedReproducesSameRun() {
        List<FaultMatrix.Cell> pair = FaultMatrixMain.pairForSeed(7);
        assertThat(FaultRun.run(pair, 7, new Policies()).journal().events())
                .isEqualTo(FaultRun.run(pair, 7, new Policies()).journal().events());
    }

    @Test
    void commandPrintsSeedAndInvariantOfViolation() {
        Policies brokenPolicies =
                new Policies() {
                    @Override
                    public boolean mustWaitFor(int inFlight) {
                        return false;
                    }
                };
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        int status =
                FaultMatrixMain.run(
                        new String[] {"--pairs-only", "--seed", "1", "--runs", "1"},
                        new PrintStream(out, true, StandardCharsets.UTF_8),
                        System.err,
                        brokenPolicies);
        assertThat(status).isEqualTo(1);
        assertThat(out.toString(StandardCharsets.UTF_8)).contains("seed 1: ", "invariant 8");
    }
}
