package org.dogwoodwood.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.function.IntToLongFunction;
import org.junit.jupiter.api.Test;

/** Guards against a limit whose last slots lower the throughput, and against unused slots. */
class PeakThroughputLimitTests {

    private static final int SLOTS = 5;
    private static final long USUAL_NANOS = 100_000_000L;

    private final PeakThroughputLimit limit = PeakThroughputLimit.create();

    // With all slots in use, calls of this target take 1.7 times as long: five calls in flight give
    // less throughput than four.
    @Test
    void limitsBelowTheSlotsWhenFullLoadSlowsTheTarget() {
        int probes = runSaturated(400, inFlight -> inFlight < 5 ? 10 : 17);

        assertThat(limit.limit(SLOTS)).isEqualTo(4);
        assertThat(probes).isBetween(1, 25);
    }

    @Test
    void usesAllSlotsWhenTheServiceTimeIsConstant() {
        runSaturated(400, inFlight -> 10);

        assertThat(limit.limit(SLOTS)).isEqualTo(SLOTS);
    }

    @Test
    void lowersTheLimitWhenTheTargetBeginsToSlowDown() {
        runSaturated(400, inFlight -> 10);
        runSaturated(600, inFlight -> inFlight < 5 ? 10 : 17);

        assertThat(limit.limit(SLOTS)).isEqualTo(4);
    }

    @Test
    void resetsTheLimitWhenTheSlotsChange() {
        runSaturated(400, inFlight -> 10);

        assertThat(limit.limit(10)).isEqualTo(8);
        assertThat(limit.limit(1)).isEqualTo(1);
    }

    /** Starts and completes calls at the limit; returns the number of probes above it. */
    private int runSaturated(int calls, IntToLongFunction serviceTenths) {
        int probes = 0;
        for (int i = 0; i < calls; i++) {
            int atStart = limit.limit(SLOTS);
            if (limit.tryProbe(atStart)) {
                atStart++;
                probes++;
            }
            // Some calls start with fewer calls in flight.
            int inFlight = i % 7 == 3 ? atStart - 1 : atStart;
            limit.onStarted();
            limit.onCompleted(inFlight, USUAL_NANOS * serviceTenths.applyAsLong(inFlight) / 10);
        }
        return probes;
    }
}
