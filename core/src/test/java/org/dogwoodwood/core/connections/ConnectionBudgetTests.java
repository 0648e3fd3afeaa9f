package org.dogwoodwood.core.connections;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against connections that use up the memory or the descriptors of a process, and against
 * limits that are enforced at the cost of ordinary callers.
 */
class ConnectionBudgetTests {

    private static final int BASE = ConnectionLimits.CONNECTION_BYTES;
    private static final int LARGE = 400 << 10;

    private final ConnectionBudget<String> budget =
            ConnectionBudget.of(new ConnectionLimits(1 << 20, 20));

    @Test
    void closesTheConnectionThatHasWaitedLongest() {
        List<String> closed = new ArrayList<>();
        for (int number = 0; number < 22; number++) {
            closed.addAll(budget.open(("c" + number).intern()));
        }
        assertThat(closed).containsExactly("c0", "c1");

        budget.onBusy("c2");
        budget.onBusy("c3");
        budget.onIdle("c3");
        assertThat(budget.open("next")).containsExactly("c4");
        assertThat(budget.connections()).isEqualTo(20);
    }

    @Test
    void largeHeadsDisplaceEachOtherAndNoOrdinaryCaller() {
        budget.open("ordinary");
        for (int number = 0; number < 100; number++) {
            String name = "large" + number;
            budget.open(name);
            assertThat(budget.hold(name, LARGE)).doesNotContain("ordinary", name);
            assertThat(budget.heldBytes()).isLessThanOrEqualTo(3 << 18);
        }
        assertThat(budget.hold("ordinary", ConnectionLimits.ORDINARY_BYTES)).isEmpty();
    }

    /** The call of a refused head never starts; the calls that run are not broken. */
    @Test
    void refusesALargeHeadWhileOnlyCallsInProgressHoldMemory() {
        budget.open("running");
        assertThat(budget.hold("running", LARGE)).isEmpty();
        budget.onBusy("running");
        budget.open("second");

        assertThat(budget.hold("second", LARGE)).containsExactly("second");
        assertThat(budget.open("ordinary")).isEmpty();
        assertThat(budget.hold("ordinary", ConnectionLimits.ORDINARY_BYTES)).isEmpty();
    }

    @Test
    void servesALargeHeadWithoutOtherLoad() {
        ConnectionLimits limits = ConnectionLimits.ofProcess(128 << 20, 4_100);
        ConnectionBudget<String> production = ConnectionBudget.of(limits);
        production.open("caller");
        long permittedHead = BASE + 16_384 + 16_384 / 3 * (long) ConnectionLimits.LINE_BYTES;

        assertThat(production.hold("caller", permittedHead)).isEmpty();
        assertThat(limits.maxConnections()).isEqualTo(2_050);
    }

    @Test
    void releasesWhatAConnectionHeld() {
        budget.open("caller");
        budget.hold("caller", LARGE);
        budget.close("caller");
        budget.close("caller");

        assertThat(budget.heldBytes()).isZero();
        assertThat(budget.hold("caller", LARGE)).isEmpty();
        assertThat(budget.heldBytes()).isZero();
    }
}
