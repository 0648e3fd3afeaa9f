package org.dogwoodwood.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.function.IntToLongFunction;
import org.junit.jupiter.api.Test;

/** Guards against slots that lower what a target completes, and against slots left unused. */
class CrowdingLimitTests {

    private static final int SLOTS = 5;
    private static final long USUAL_NANOS = 100_000_000L;

    private final CrowdingLimit limit = CrowdingLimit.create();

    // Calls in the last slot of such a target take 1.7 times as long: five at a time give less than
    // four.
    @Test
    void leavesSlotsFreeThatSlowTheTargetDown() {
        int above = completeWhileCallsWait(400, inFlight -> inFlight < 5 ? 10 : 17);

        assertThat(limit.limit(SLOTS)).isEqualTo(4);
        assertThat(above).isBetween(1, 25);
    }

    @Test
    void usesAllSlotsOfATargetThatKeepsItsSpeed() {
        completeWhileCallsWait(400, inFlight -> 10);

        assertThat(limit.limit(SLOTS)).isEqualTo(SLOTS);
    }

    @Test
    void followsATargetThatBeginsToSlowDownWhenItIsFull() {
        completeWhileCallsWait(400, inFlight -> 10);
        completeWhileCallsWait(600, inFlight -> inFlight < 5 ? 10 : 17);

        assertThat(limit.limit(SLOTS)).isEqualTo(4);
    }

    @Test
    void beginsAnewWithOtherSlots() {
        completeWhileCallsWait(400, inFlight -> 10);

        assertThat(limit.limit(10)).isEqualTo(8);
        assertThat(limit.limit(1)).isEqualTo(1);
    }

    /** Starts and completes calls at the limit; returns how many started above it. */
    private int completeWhileCallsWait(int calls, IntToLongFunction tenths) {
        int above = 0;
        for (int i = 0; i < calls; i++) {
            int atStart = limit.limit(SLOTS);
            if (limit.tryAbove(atStart)) {
                atStart++;
                above++;
            }
            // Other calls that started meanwhile found fewer in flight.
            int inFlight = i % 7 == 3 ? atStart - 1 : atStart;
            limit.onStarted();
            limit.onCompleted(inFlight, USUAL_NANOS * tenths.applyAsLong(inFlight) / 10);
        }
        return above;
    }
}
