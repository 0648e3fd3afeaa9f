package org.dogwoodwood.benchmarks;

import org.assertj.core.api.SoftAssertions;
import org.dogwoodwood.benchmarks.policy.Policy;
import org.dogwoodwood.benchmarks.report.Row;
import org.dogwoodwood.benchmarks.simulation.Scenario;
import org.dogwoodwood.benchmarks.simulation.ServiceTimes;
import org.dogwoodwood.benchmarks.simulation.Workload;
import org.junit.jupiter.api.Test;

/**
 * Replays a burst on many small targets that neighbours slow for long phases: the incident in which
 * too little was served on a grown site.
 */
class LongPhaseLoadTests {

    /** The share of the calls that must be answered within their objective. */
    private static final double IN_TIME = 0.9;

    /**
     * Three quarters of what the targets complete in the phases in which they are not slowed, with
     * the number of calls at a time with which they complete most.
     */
    private static final double BURST_LOAD = 0.53;

    private static final int SEEDS = 4;
    private static final int SECONDS = 6;

    // Slots that are held by work begun in slow phases, or that slow their target down, are
    // missing.
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
