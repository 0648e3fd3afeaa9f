package org.dogwoodwood.core.health;

import static org.assertj.core.api.Assertions.assertThat;

import org.dogwoodwood.core.model.NodeId;
import org.junit.jupiter.api.Test;

class OutlierEjectionTests {

    private final OutlierEjection ejection = OutlierEjection.create(0.34);

    // A fault common to all targets must not concentrate the load on the few that are not ejected.
    @Test
    void ejectsAtMostAShareOfTheTargets() {
        for (int i = 0; i < 100; i++) {
            ejection.onEnded(node(i % 4), true, 4, 0);
        }
        int ejected = 0;
        for (int i = 0; i < 4; i++) {
            ejected += ejection.isEjected(node(i), 0) ? 1 : 0;
        }
        assertThat(ejected).isEqualTo(1);
    }

    // A target that has recovered must receive calls again, and a healthy one must not be ejected.
    @Test
    void ejectsFailingTargetsTemporarily() {
        for (int i = 0; i < 5; i++) {
            ejection.onEnded(node(0), true, 4, 0);
            ejection.onEnded(node(1), i > 0, 4, 0);
        }
        assertThat(ejection.isEjected(node(0), 0)).isTrue();
        assertThat(ejection.isEjected(node(1), 0)).isFalse();
        assertThat(ejection.isEjected(node(0), 60_000_000_000L)).isFalse();
    }

    private static NodeId node(int number) {
        return NodeId.of("node-" + number);
    }
}
