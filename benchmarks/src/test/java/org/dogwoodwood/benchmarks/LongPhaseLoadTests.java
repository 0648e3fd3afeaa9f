package org.dogwoodwood.benchmarks;

import org.assertj.core.api.SoftAssertions;
import org.dogwoodwood.benchmarks.policy.Policy;
import org.dogwoodwood.benchmarks.report.Row;
import org.dogwoodwood.benchmarks.simulation.Scenario;
import org.dogwoodwood.benchmarks.simulation.ServiceTimes;
import org.dogwoodwood.benchmarks.simulation.Workload;
import org.junit.jupiter.api.Test;

/**
 * Guards against low goodput when noisy neighbours slow many small targets in long phases.
 * Reproduces the burst of an incident at a site that had grown, where too few calls were answered.
 */
class LongPhaseLoadTests {

    /** The share of the calls that must be answered within their latency objective. */
    private static final double IN_TIME = 0.9;

    /**
     * Three quarters of the throughput of targets that are not slowed, at the concurrency that
     * gives the highest throughput.
     */
    private static final double BURST_LOAD = 0.53;

    private static final int SEEDS = 4;
    private static final int SECONDS = 6;

    // Capacity is lost when slots are held by calls that started in a slow phase, or when so many
    // are busy that the target slows down.
    @Test
    void answersABurstInTimeWhileAThirdOfTheTargetsIsSlow() {
        SoftAssertions softly = new SoftAssertions();
        for (long seed = 1; seed <= SEEDS; seed++) {
            Row row = run(BURST_LOAD, seed);
            softly.assertThat(row.inTime()).as("in time, seed %d", seed).isGreaterThan(IN_TIME);
        }
        softly.assertAll();
    }

    private static Row run(double load, long seed) {
        Scenario scenario =
                new Scenario(Workload.LONG_PHASES, ServiceTimes.EVEN, load, seed, SECONDS);
        return BenchmarkRunner.run(scenario, Policy.DOGWOODWOOD);
    }
}
