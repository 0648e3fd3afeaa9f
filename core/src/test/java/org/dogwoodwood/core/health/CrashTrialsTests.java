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

/** Guards against a request that is refused for good, and one that crashes targets without end. */
class CrashTrialsTests {

    private static final long SECOND = 1_000_000_000L;
    private static final CrashPolicy POLICY = new CrashPolicy(3, 60 * SECOND);
    private static final CrashSuspicion UNTRIED = CrashSuspicion.ofCrashes(3);
    private static final long FINGERPRINT = 42;
    private static final long OTHER = 43;
    private static final NodeId A = NodeId.of("a");
    private static final NodeId B = NodeId.of("b");
    private static final List<NodeId> TARGETS = List.of(A, B);

    private final NodeId self = CrashTrials.targetOf(FINGERPRINT, TARGETS).orElseThrow();
    private final CrashTrials trials = CrashTrials.create(self);

    @Test
    void aBlockedRequestIsTriedAtOneTargetOnly() {
        CrashTrials other = CrashTrials.create(self.equals(A) ? B : A);
        assertThat(refusal(trials, 1, FINGERPRINT, 0)).isEmpty();
        assertThat(refusal(other, 1, FINGERPRINT, 0)).contains(ErrorCode.CRASHING_REQUEST);
    }

    @Test
    void oneRequestIsTriedAtATime() {
        trials.begin(call(1, FINGERPRINT), 0);
        assertThat(refusal(trials, 2, FINGERPRINT, 1)).contains(ErrorCode.CRASHING_REQUEST);
        trials.end(call(2, FINGERPRINT), false, 2);
        assertThat(refusal(trials, 2, FINGERPRINT, 2)).isPresent();
        trials.end(call(1, FINGERPRINT), false, 3);
        assertThat(refusal(trials, 2, FINGERPRINT, 4)).isEmpty();
    }

    /** Guards against a second request that is tried before the crash of the first one is known. */
    @Test
    void aBrokenTrialWaitsForThePollThatShowsACrash() {
        trials.begin(call(1, FINGERPRINT), 0);
        trials.end(call(1, FINGERPRINT), true, 0);
        assertThat(refusal(trials, 2, FINGERPRINT, SECOND)).isPresent();
        assertThat(refusal(trials, 2, FINGERPRINT, 3 * SECOND)).isEmpty();
    }

    @Test
    void aCrashIsThatOfTheRequestOnTrial() {
        trials.begin(call(1, FINGERPRINT), 0);
        trials.end(call(1, FINGERPRINT), true, SECOND / 10);
        assertThat(trials.onCrash(Set.of(FINGERPRINT, OTHER), SECOND))
                .contains(new TrialCrash(FINGERPRINT, false));
        assertThat(trials.onCrash(Set.of(FINGERPRINT, OTHER), SECOND)).isEmpty();
    }

    /** Guards against a long request whose beginning is blamed for a crash within its run. */
    @Test
    void aCrashLongAfterTheBeginOfTheTrialIsToldApart() {
        trials.begin(call(1, FINGERPRINT), 0);
        trials.end(call(1, FINGERPRINT), true, SECOND / 2);
        assertThat(trials.onCrash(Set.of(FINGERPRINT), SECOND))
                .contains(new TrialCrash(FINGERPRINT, true));
    }

    @Test
    void aRequestThatKeepsCrashingTargetsIsTriedLessAndLess() {
        long waited = 0;
        for (int weight = 1; weight <= 8; weight++) {
            CrashSuspicion suspicion = new CrashSuspicion(3, weight, 0, false);
            long refused = suspicion.refusedNanos(POLICY);
            assertThat(suspicion.status(POLICY)).isEqualTo(CrashStatus.BLOCKED);
            assertThat(suspicion.isTrialDue(POLICY, refused - 1)).isFalse();
            assertThat(suspicion.isTrialDue(POLICY, refused)).isTrue();
            assertThat(refused).isGreaterThanOrEqualTo(waited);
            waited = refused;
        }
        assertThat(waited).isEqualTo(8 * POLICY.holdNanos());
    }

    @Test
    void aProofRefusesTheRequestForTheHoldTime() {
        CrashSuspicion proven = new CrashSuspicion(4, CrashSuspicion.PROOF, 0, false);
        assertThat(proven.refusedNanos(POLICY)).isEqualTo(POLICY.holdNanos());
    }

    private static Optional<ErrorCode> refusal(
            CrashTrials trials, long counter, long fingerprint, long nowNanos) {
        return trials.refusal(call(counter, fingerprint), UNTRIED, POLICY, TARGETS, nowNanos);
    }

    private static CallDescription call(long counter, long fingerprint) {
        return new CallDescription(
                CallId.of(A, 1, counter),
                0,
                "outings",
                "default",
                true,
                Optional.empty(),
                fingerprint,
                0,
                SECOND,
                SECOND,
                true);
    }
}
