package org.dogwoodwood.core.measurement;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class MeasurementBudgetTests {

    private static final long MILLI = 1_000_000L;

    // Polls above the budget use capacity that calls need.
    @Test
    void allowsTheLargerOfRateAndShare() {
        assertThat(pollsInTenSeconds(1)).isBetween(19, 22);
        assertThat(pollsInTenSeconds(1_000)).isBetween(99, 102);
    }

    private static int pollsInTenSeconds(int callsPerSecond) {
        MeasurementBudget budget = MeasurementBudget.withDefaults(0);
        int polls = 0;
        for (int millis = 0; millis < 10_000; millis++) {
            if (millis % (1_000 / callsPerSecond) == 0) {
                budget.onCall();
            }
            polls += budget.tryPoll(millis * MILLI) ? 1 : 0;
        }
        return polls;
    }
}
