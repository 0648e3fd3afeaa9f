package org.dogwoodwood.core.balancing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.dogwoodwood.core.model.FreeCapacity;
import org.junit.jupiter.api.Test;

class CapacityTableTests {

    private static final long MILLI = 1_000_000L;

    private final CapacityTable table = CapacityTable.create("a");

    // An estimate that arrives late by a longer way must not replace a newer one.
    @Test
    void theNewestEstimateWins() {
        table.add(estimate("b", 5, 100), 1_000 * MILLI);
        table.add(estimate("b", 9, 400), 1_100 * MILLI);
        assertThat(table.find("s", "b", 1_200 * MILLI)).contains(estimate("b", 5, 300));
    }

    // Free slots of a data centre that has been unreachable for seconds are not free slots.
    @Test
    void oldEstimatesAreUnknown() {
        table.add(estimate("b", 5, 0), 0);
        assertThat(table.find("s", "b", 3_001 * MILLI)).isEmpty();
        assertThat(table.messageTo("a", 3_001 * MILLI)).isEmpty();
        table.add(estimate("b", 5, 3_001), 4_000 * MILLI);
        assertThat(table.find("s", "b", 4_000 * MILLI)).isEmpty();
    }

    // Passing on what other data centres said would multiply the expensive traffic between them.
    @Test
    void anotherDataCentreGetsOnlyOwnEstimates() {
        table.add(estimate("a", 1, 0), 0);
        table.add(estimate("b", 2, 0), 0);
        assertThat(table.messageTo("c", 0)).isEqualTo(List.of(estimate("a", 1, 0)));
        assertThat(table.messageTo("a", 0)).hasSize(2);
    }

    private static FreeCapacity estimate(String dataCentre, int freeSlots, long ageMillis) {
        return new FreeCapacity(dataCentre, "s", freeSlots, 100_000, ageMillis);
    }
}
