package org.dogwoodwood.core.health;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.dogwoodwood.core.model.NodeId;
import org.junit.jupiter.api.Test;

/** Guards against one request that crashes several targets in turn. */
class CrashFingerprintRegistryTests {

    private static final long HOLD = 600_000_000_000L;
    private static final CrashPolicy POLICY = new CrashPolicy(2, HOLD);
    private static final long FINGERPRINT = 42;
    private static final long SECOND = 1_000_000_000L;
    private static final boolean AT_ITS_BEGIN = false;
    private static final boolean LATER = true;
    private static final Optional<TrialCrash> UNTRIED = Optional.empty();
    private static final NodeId A = NodeId.of("a");
    private static final NodeId B = NodeId.of("b");

    private final CrashFingerprintRegistry registry = CrashFingerprintRegistry.create(HOLD);

    @Test
    void theSecondCrashBlocksARequestUntilTheHoldTimeHasPassed() {
        registry.onCrash(A, 1, Set.of(FINGERPRINT), UNTRIED, 0);
        assertThat(status(registry, 1)).isEqualTo(CrashStatus.SUSPECT);
        registry.onCrash(B, 1, Set.of(FINGERPRINT), UNTRIED, 1);
        assertThat(status(registry, 2)).isEqualTo(CrashStatus.BLOCKED);
        assertThat(status(registry, HOLD + 1)).isEqualTo(CrashStatus.CLEAR);
    }

    @Test
    void theSameCrashReportedTwiceCountsOnce() {
        registry.onCrash(A, 1, Set.of(FINGERPRINT), UNTRIED, 0);
        registry.onCrash(A, 1, Set.of(FINGERPRINT), UNTRIED, 5);
        assertThat(status(registry, 6)).isEqualTo(CrashStatus.SUSPECT);
    }

    /**
     * Guards against a popular request that is blocked, since it is at work at each crash, though
     * it succeeds in between.
     */
    @Test
    void aSuccessAnywhereEndsTheSuspicion() {
        for (long crash = 1; crash <= 10; crash++) {
            registry.onCrash(A, crash, Set.of(FINGERPRINT), UNTRIED, crash * 10);
            assertThat(status(registry, crash * 10 + 1)).isEqualTo(CrashStatus.SUSPECT);
            registry.onAnswered(B, 1, FINGERPRINT, 0, crash * 10 + 2);
            assertThat(status(registry, crash * 10 + 3)).isEqualTo(CrashStatus.CLEAR);
        }
    }

    @Test
    void aCrashOnTrialBlocksLongerThanOtherCrashesCount() {
        crashOnTrial(AT_ITS_BEGIN, 0);
        assertThat(status(registry, HOLD)).isEqualTo(CrashStatus.BLOCKED);
        registry.onAnswered(B, 1, FINGERPRINT, 0, HOLD + 1);
        assertThat(status(registry, HOLD + 2)).isEqualTo(CrashStatus.CLEAR);
        assertThat(status(registry, 20 * HOLD)).isEqualTo(CrashStatus.CLEAR);
    }

    @Test
    void aCrashAtTheBeginOfATrialIsAProof() {
        crashOnTrial(AT_ITS_BEGIN, 0);
        assertThat(trialWeight()).isEqualTo(CrashSuspicion.PROOF);
    }

    /** Guards against a long request that is refused for minutes because of any crash. */
    @Test
    void aCrashLaterInATrialIsDoubtful() {
        crashOnTrial(LATER, 0);
        assertThat(trialWeight()).isEqualTo(1);
    }

    /** Guards against a popular request that is refused for minutes after one unlucky trial. */
    @Test
    void aCrashOnTrialOfARequestThatWasAnsweredBeforeIsDoubtful() {
        crashOnTrial(AT_ITS_BEGIN, SECOND);
        registry.onAnswered(B, 1, FINGERPRINT, SECOND / 2, SECOND);
        assertThat(trialWeight()).isEqualTo(1);
        assertThat(status(registry, SECOND)).isEqualTo(CrashStatus.BLOCKED);
    }

    /** Guards against requests that are blamed when all targets crash together. */
    @Test
    void aCrashOnTrialIsDoubtfulIfAnotherTargetCrashedAtThatTime() {
        crashOnTrial(AT_ITS_BEGIN, 0);
        registry.onCrash(B, 1, Set.of(), UNTRIED, SECOND);
        assertThat(trialWeight()).isEqualTo(1);
    }

    /** Guards against reports without end of an answer that is too old to be kept anywhere. */
    @Test
    void anAnswerThatIsTooOldToBeKeptIsNoNews() {
        crashOnTrial(AT_ITS_BEGIN, 0);
        long keptNanos = CrashKind.CLEARED.retentionNanos(HOLD);
        assertThat(registry.isNewsOfAnswer(FINGERPRINT, keptNanos - 1, SECOND)).isTrue();
        assertThat(registry.isNewsOfAnswer(FINGERPRINT, keptNanos, SECOND)).isFalse();
    }

    @Test
    void crashesOfTheSameRequestAtTheSameTimeLeaveNoDoubt() {
        crashOnTrial(AT_ITS_BEGIN, 0);
        registry.onCrash(B, 1, Set.of(FINGERPRINT), UNTRIED, SECOND);
        assertThat(trialWeight()).isEqualTo(CrashSuspicion.PROOF);
    }

    @Test
    void twoDoubtsLeaveNothingOfTheProof() {
        crashOnTrial(LATER, 0);
        registry.onCrash(B, 1, Set.of(), UNTRIED, SECOND);
        assertThat(trialWeight()).isZero();
    }

    @Test
    void copiesConvergeInAnyOrderOfRecords() {
        CrashFingerprintRegistry other = CrashFingerprintRegistry.create(HOLD);
        registry.onCrash(A, 1, Set.of(FINGERPRINT, 7L, 8L), UNTRIED, 0);
        registry.onAnswered(A, 1, 8, 0, 1);
        other.onCrash(B, 1, Set.of(FINGERPRINT), UNTRIED, 0);
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
        registry.onCrash(A, 1, Set.of(FINGERPRINT), UNTRIED, 0);
        other.merge(registry.records(HOLD - 1), HOLD - 1);
        registry.merge(other.records(HOLD), HOLD);
        for (CrashFingerprintRegistry copy : List.of(registry, other)) {
            assertThat(copy.suspicions(HOLD)).isEmpty();
            assertThat(copy.records(HOLD))
                    .extracting(CrashRecord::kind)
                    .containsExactly(CrashKind.TARGET_CRASHED);
            assertThat(copy.records(CrashKind.TARGET_CRASHED.retentionNanos(HOLD))).isEmpty();
        }
    }

    private void crashOnTrial(boolean late, long nowNanos) {
        Optional<TrialCrash> tried = Optional.of(new TrialCrash(FINGERPRINT, late));
        registry.onCrash(A, 1, Set.of(FINGERPRINT), tried, nowNanos);
    }

    private int trialWeight() {
        return registry.suspicion(FINGERPRINT, SECOND).orElseThrow().trialWeight();
    }

    private static CrashStatus status(CrashFingerprintRegistry registry, long nowNanos) {
        return registry.suspicion(FINGERPRINT, nowNanos)
                .map(found -> found.status(POLICY))
                .orElse(CrashStatus.CLEAR);
    }
}
