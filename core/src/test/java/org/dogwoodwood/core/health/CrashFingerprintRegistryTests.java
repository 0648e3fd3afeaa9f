package org.dogwoodwood.core.health;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.core.model.CallDescription;
import org.dogwoodwood.core.model.CallId;
import org.dogwoodwood.core.model.NodeId;
import org.junit.jupiter.api.Test;

/** Guards against one request that crashes several targets in turn. */
class CrashFingerprintRegistryTests {

    private static final long HOLD = 600_000_000_000L;
    private static final long FINGERPRINT = 42;
    private static final NodeId A = NodeId.of("a");
    private static final NodeId B = NodeId.of("b");
    private static final List<NodeId> TARGETS = List.of(A, B);

    private final CrashFingerprintRegistry registry = CrashFingerprintRegistry.create(2, HOLD);

    @Test
    void theSecondCrashBlocksARequestUntilTheHoldTimeHasPassed() {
        registry.onCrash(A, 1, Set.of(FINGERPRINT), 0);
        assertThat(registry.status(FINGERPRINT, 1)).isEqualTo(CrashStatus.SUSPECT);
        registry.onCrash(B, 1, Set.of(FINGERPRINT), 1);
        assertThat(registry.status(FINGERPRINT, 2)).isEqualTo(CrashStatus.BLOCKED);
        assertThat(registry.beginTrial(call(1), A, TARGETS, 2))
                .contains(ErrorCode.CRASHING_REQUEST);
        assertThat(registry.status(FINGERPRINT, HOLD + 1)).isEqualTo(CrashStatus.CLEAR);
    }

    @Test
    void theSameCrashReportedTwiceCountsOnce() {
        registry.onCrash(A, 1, Set.of(FINGERPRINT), 0);
        registry.onCrash(A, 1, Set.of(FINGERPRINT), 5);
        assertThat(registry.status(FINGERPRINT, 6)).isEqualTo(CrashStatus.SUSPECT);
    }

    @Test
    void aSuspectRunsSeriallyAtOneTarget() {
        registry.onCrash(A, 1, Set.of(FINGERPRINT), 0);
        NodeId chosen = CrashFingerprintRegistry.trialTarget(FINGERPRINT, TARGETS).orElseThrow();
        NodeId other = chosen.equals(A) ? B : A;
        assertThat(registry.beginTrial(call(1), other, TARGETS, 1)).contains(ErrorCode.GUARD_BUSY);
        assertThat(registry.beginTrial(call(1), chosen, TARGETS, 1)).isEmpty();
        assertThat(registry.beginTrial(call(2), chosen, TARGETS, 2)).contains(ErrorCode.GUARD_BUSY);
        registry.endTrial(call(1), chosen, 1, false, 3);
        assertThat(registry.beginTrial(call(2), chosen, TARGETS, 4)).isEmpty();
    }

    @Test
    void aSuspectThatIsAnsweredIsCleared() {
        registry.onCrash(A, 1, Set.of(FINGERPRINT), 0);
        registry.beginTrial(call(1), B, List.of(B), 1);
        registry.endTrial(call(1), B, 1, true, 2);
        assertThat(registry.status(FINGERPRINT, 3)).isEqualTo(CrashStatus.CLEAR);
        registry.onCrash(B, 2, Set.of(FINGERPRINT), 4);
        assertThat(registry.status(FINGERPRINT, 5)).isEqualTo(CrashStatus.SUSPECT);
    }

    @Test
    void copiesConvergeInAnyOrderOfRecords() {
        CrashFingerprintRegistry other = CrashFingerprintRegistry.create(2, HOLD);
        registry.onCrash(A, 1, Set.of(FINGERPRINT, 7L), 0);
        other.onCrash(B, 1, Set.of(FINGERPRINT), 0);
        List<CrashRecord> first = registry.records(1);
        other.merge(first, 1);
        other.merge(first, 2);
        registry.merge(other.records(3), 3);
        for (CrashFingerprintRegistry copy : List.of(registry, other)) {
            assertThat(copy.fingerprints(CrashStatus.BLOCKED, 4)).containsExactly(FINGERPRINT);
            assertThat(copy.fingerprints(CrashStatus.SUSPECT, 4)).containsExactly(7L);
        }
    }

    @Test
    void anExchangeDoesNotProlongTheHoldTime() {
        CrashFingerprintRegistry other = CrashFingerprintRegistry.create(2, HOLD);
        registry.onCrash(A, 1, Set.of(FINGERPRINT), 0);
        other.merge(registry.records(HOLD - 1), HOLD - 1);
        registry.merge(other.records(HOLD), HOLD);
        assertThat(registry.records(HOLD)).isEmpty();
        assertThat(other.records(HOLD)).isEmpty();
    }

    @Test
    void aCallThatStartedBeforeTheCrashDoesNotEndTheTrialOfAnother() {
        registry.beginTrial(call(1), B, List.of(B), 0);
        registry.onCrash(A, 1, Set.of(FINGERPRINT), 1);
        registry.beginTrial(call(2), B, List.of(B), 2);
        registry.endTrial(call(1), B, 1, true, 3);
        assertThat(registry.status(FINGERPRINT, 4)).isEqualTo(CrashStatus.SUSPECT);
        assertThat(registry.beginTrial(call(3), B, List.of(B), 4)).contains(ErrorCode.GUARD_BUSY);
    }

    private static CallDescription call(long counter) {
        return new CallDescription(
                CallId.of(A, 1, counter),
                0,
                "outings",
                "default",
                true,
                Optional.empty(),
                FINGERPRINT,
                0,
                HOLD,
                HOLD,
                true);
    }
}
