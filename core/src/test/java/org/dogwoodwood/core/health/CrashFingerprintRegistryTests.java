package org.dogwoodwood.core.health;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.dogwoodwood.core.model.NodeId;
import org.junit.jupiter.api.Test;

/** Guards against one request that crashes several targets in turn. */
class CrashFingerprintRegistryTests {

    private static final long HOLD = 600_000_000_000L;
    private static final CrashPolicy POLICY = new CrashPolicy(2, HOLD);
    private static final long FINGERPRINT = 42;
    private static final NodeId A = NodeId.of("a");
    private static final NodeId B = NodeId.of("b");

    private final CrashFingerprintRegistry registry = CrashFingerprintRegistry.create(HOLD);

    @Test
    void theSecondCrashBlocksARequestUntilTheHoldTimeHasPassed() {
        registry.onCrash(A, 1, Set.of(FINGERPRINT), 0);
        assertThat(status(registry, 1)).isEqualTo(CrashStatus.SUSPECT);
        registry.onCrash(B, 1, Set.of(FINGERPRINT), 1);
        assertThat(status(registry, 2)).isEqualTo(CrashStatus.BLOCKED);
        assertThat(status(registry, HOLD + 1)).isEqualTo(CrashStatus.CLEAR);
    }

    @Test
    void theSameCrashReportedTwiceCountsOnce() {
        registry.onCrash(A, 1, Set.of(FINGERPRINT), 0);
        registry.onCrash(A, 1, Set.of(FINGERPRINT), 5);
        assertThat(status(registry, 6)).isEqualTo(CrashStatus.SUSPECT);
    }

    /**
     * Guards against a popular request that is blocked, since it is at work at each crash, though
     * it succeeds in between.
     */
    @Test
    void aSuccessAnywhereEndsTheSuspicion() {
        for (long crash = 1; crash <= 10; crash++) {
            registry.onCrash(A, crash, Set.of(FINGERPRINT), crash * 10);
            assertThat(status(registry, crash * 10 + 1)).isEqualTo(CrashStatus.SUSPECT);
            registry.onAnswered(B, 1, FINGERPRINT, crash * 10 + 2);
            assertThat(status(registry, crash * 10 + 3)).isEqualTo(CrashStatus.CLEAR);
        }
    }

    @Test
    void aCrashOnTrialBlocksLongerThanOtherCrashesCount() {
        registry.onTrialCrash(A, 1, FINGERPRINT, 0);
        assertThat(status(registry, HOLD)).isEqualTo(CrashStatus.BLOCKED);
        registry.onAnswered(B, 1, FINGERPRINT, HOLD + 1);
        assertThat(status(registry, HOLD + 2)).isEqualTo(CrashStatus.CLEAR);
        assertThat(status(registry, 20 * HOLD)).isEqualTo(CrashStatus.CLEAR);
    }

    @Test
    void copiesConvergeInAnyOrderOfRecords() {
        CrashFingerprintRegistry other = CrashFingerprintRegistry.create(HOLD);
        registry.onCrash(A, 1, Set.of(FINGERPRINT, 7L, 8L), 0);
        registry.onAnswered(A, 1, 8, 1);
        other.onCrash(B, 1, Set.of(FINGERPRINT), 0);
        List<CrashRecord> first = registry.records(1);
        other.merge(first, 1);
        other.merge(first, 2);
        registry.merge(other.records(3), 3);
        for (CrashFingerprintRegistry copy : List.of(registry, other)) {
            assertThat(copy.suspicions(4)).containsOnlyKeys(7L, FINGERPRINT);
            assertThat(copy.suspicions(4).get(7L).crashes()).isEqualTo(1);
            assertThat(status(copy, 4)).isEqualTo(CrashStatus.BLOCKED);
        }
    }

    @Test
    void anExchangeDoesNotProlongTheHoldTime() {
        CrashFingerprintRegistry other = CrashFingerprintRegistry.create(HOLD);
        registry.onCrash(A, 1, Set.of(FINGERPRINT), 0);
        other.merge(registry.records(HOLD - 1), HOLD - 1);
        registry.merge(other.records(HOLD), HOLD);
        assertThat(registry.records(HOLD)).isEmpty();
        assertThat(other.records(HOLD)).isEmpty();
    }

    private static CrashStatus status(CrashFingerprintRegistry registry, long nowNanos) {
        return registry.suspicion(FINGERPRINT, nowNanos)
                .map(found -> found.status(POLICY))
                .orElse(CrashStatus.CLEAR);
    }
}
