package org.dogwoodwood.core.balancing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;

/** Replays uneven demand at 52 targets in three data centres: 13, 22 and 17. */
class PlacementTests {

    private final PlacementReplay replay = new PlacementReplay(Map.of("a", 13, "b", 22, "c", 17));

    // Four of ten samples held no local target, so calls crossed although the local targets were
    // idle.
    @Test
    void noCallCrossesWhileTheLocalTargetsHaveFreeSlots() {
        replay.run(20, load(0.6, 0.3, 0.5));
        assertThat(replay.crossed).isEmpty();
        assertThat(replay.late).isZero();
    }

    // Too few calls leave an overloaded data centre if each waits for its own refusal, too many if
    // all follow the same report.
    @Test
    void theExcessLeavesAnOverloadedDataCentreAndReturnsWithItsCapacity() {
        replay.run(10, load(1.5, 0.3, 0.5));
        replay.run(20, load(1.5, 0.3, 0.5));
        double excess = 0.5 * replay.capacity("a") * 20;
        assertThat((double) replay.crossedFrom("a")).isBetween(0.9 * excess, 1.3 * excess);
        assertThat(replay.crossedFrom("b") + replay.crossedFrom("c")).isZero();
        replay.run(3, load(0.6, 0.3, 0.5));
        replay.run(10, load(0.6, 0.3, 0.5));
        assertThat(replay.crossed).isEmpty();
    }

    // Two full data centres that each believed in the other's free capacity exchanged their calls.
    @Test
    void fullDataCentresDoNotExchangeCalls() {
        PlacementReplay full = new PlacementReplay(Map.of("a", 13, "b", 22));
        Map<String, Double> load =
                Map.of("a", 1.3 * full.capacity("a"), "b", 1.3 * full.capacity("b"));
        full.run(5, load);
        full.run(20, load);
        int crossed = full.crossedFrom("a") + full.crossedFrom("b");
        assertThat(crossed).isLessThan((full.stayed + crossed) / 20);
    }

    // All ingress nodes sent their excess at once to the data centre that first reported free
    // slots, which was then full.
    @Test
    void ingressNodesDoNotHerdToADataCentreThatHasFreeCapacityAgain() {
        replay.run(10, load(1.6, 1.1, 1.1));
        replay.run(1, load(1.6, 0.5, 1.1));
        replay.run(3, load(1.6, 0.5, 1.1));
        assertThat(replay.queuedAtOnce.getOrDefault("b", 0))
                .isLessThan(PlacementReplay.QUEUE * 2 / 3);
        assertThat(replay.crossedFrom("a")).isGreaterThan(500);
    }

    private Map<String, Double> load(double a, double b, double c) {
        return Map.of(
                "a", a * replay.capacity("a"),
                "b", b * replay.capacity("b"),
                "c", c * replay.capacity("c"));
    }
}
