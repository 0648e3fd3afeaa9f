package org.dogwoodwood.core.retry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class HedgeTests {

    private static final long MILLI = 1_000_000L;
    private static final long USUAL = 100 * MILLI;

    // A call on the only slow target missed its objective although another target was idle.
    @Test
    void hedgesACallThatMissesItsObjectiveAtTheOnlySlowTarget() {
        assertThat(decide(30, 400, 7, 0, 1, 0)).isEqualTo(HedgeDecision.SEND);
        assertThat(decide(30, 1_000, 7, 0, 1, 0)).isEqualTo(HedgeDecision.WAIT);
        assertThat(decide(30, 400, 1, 0, 1, 0)).isEqualTo(HedgeDecision.WAIT);
    }

    // Where all targets are slow, hedges only add load to them.
    @Test
    void doesNotHedgeWhereAllTargetsAreSlow() {
        assertThat(decide(30, 400, 7, 0, 7, 0)).isEqualTo(HedgeDecision.WAIT);
    }

    // In a burst, the first attempt waits its turn and the second would displace a call in time.
    @Test
    void doesNotHedgeInABurst() {
        assertThat(decide(30, 400, 7, 60, 1, 0)).isEqualTo(HedgeDecision.WAIT);
        assertThat(decide(30, 400, 7, 0, 1, 50)).isEqualTo(HedgeDecision.WAIT);
    }

    // A hedge of a call whose objective is missed anyway wastes the work.
    @Test
    void doesNotHedgeACallThatIsLateAnyway() {
        assertThat(decide(30, 90, 7, 0, 1, 0)).isEqualTo(HedgeDecision.NEVER);
    }

    // Cold targets, whose usual time is unknown, must not turn every call into two.
    @Test
    void doesNotHedgeBetweenColdTargets() {
        HedgeView cold = new HedgeView(30 * MILLI, 400 * MILLI, true, 0, 1, 0, 1, 0);
        assertThat(HedgeDecision.of(cold)).isEqualTo(HedgeDecision.WAIT);
    }

    // A slow phase of all targets after a quiet time must not release many saved hedges.
    @Test
    void hedgesStayWithinTheirShareInABurst() {
        RetryBudget retries = RetryBudget.of(0.1);
        HedgeBudget hedges = HedgeBudget.of(0.02, retries);
        hedges.setNodes(83);
        int sent = 0;
        for (int i = 0; i < 10_000; i++) {
            hedges.onCall();
            retries.onSuccess();
        }
        for (int i = 0; i < 1_000; i++) {
            hedges.onCall();
            retries.onSuccess();
            sent += hedges.trySpend() ? 1 : 0;
        }
        assertThat(sent).isBetween(15, 21);
    }

    // A limit of zero, also one set during operation, ends all hedges at once.
    @Test
    void aLimitChangedDuringOperationHoldsAtOnce() {
        RetryBudget retries = RetryBudget.of(0.1);
        HedgeBudget hedges = HedgeBudget.of(0.2, retries);
        for (int i = 0; i < 100; i++) {
            hedges.onCall();
            retries.onSuccess();
        }
        assertThat(hedges.trySpend()).isTrue();
        hedges.setShare(0);
        hedges.onCall();
        assertThat(hedges.trySpend()).isFalse();
        hedges.setShare(0.2);
        for (int i = 0; i < 6; i++) {
            hedges.onCall();
        }
        assertThat(hedges.trySpend()).isTrue();
    }

    // Hedges used up the budget, so that calls that had failed were not retried, or hedges and
    // retries
    // together exceeded it, so that an overloaded service got more attempts.
    @Test
    void hedgesLeaveARetryAndStayWithinTheBudgetOfRetries() {
        RetryBudget retries = RetryBudget.of(0);
        HedgeBudget hedges = HedgeBudget.of(0.2, retries);
        for (int i = 0; i < 100; i++) {
            hedges.onCall();
        }
        assertThat(hedges.trySpend()).isTrue();
        assertThat(hedges.trySpend()).isFalse();
        assertThat(retries.trySpend()).isTrue();
        assertThat(retries.trySpend()).isFalse();
    }

    // Callers that were refused together came back together after 0.1 to 0.3 s, into a full queue.
    @Test
    void refusedCallersReturnWhenTheQueueHasDrainedOneAfterAnother() {
        ReturnSchedule schedule = ReturnSchedule.create();
        SplittableRandom random = new SplittableRandom(1);
        for (int i = 0; i < 40; i++) {
            long delay = schedule.nextDelayNanos(400 * MILLI, 10 * MILLI, 3_000 * MILLI, i, random);
            assertThat(delay).isBetween((400 + 10L * i) * MILLI - i, (410 + 10L * i) * MILLI);
        }
    }

    // A caller that is told to return later than a third of the time it has left gives up.
    @Test
    void callersReturnWithinAThirdOfTheTimeTheyHaveLeft() {
        ReturnSchedule schedule = ReturnSchedule.create();
        SplittableRandom random = new SplittableRandom(1);
        for (int i = 0; i < 100; i++) {
            long delay = schedule.nextDelayNanos(2_000 * MILLI, 10 * MILLI, 900 * MILLI, 0, random);
            assertThat(delay).isBetween(150 * MILLI, 300 * MILLI);
        }
    }

    private static HedgeDecision decide(
            long elapsedMillis,
            long timeLeftMillis,
            double firstSlowdown,
            long firstWaitMillis,
            double otherSlowdown,
            long otherWaitMillis) {
        return HedgeDecision.of(
                new HedgeView(
                        elapsedMillis * MILLI,
                        timeLeftMillis * MILLI,
                        true,
                        USUAL,
                        firstSlowdown,
                        firstWaitMillis * MILLI,
                        otherSlowdown,
                        otherWaitMillis * MILLI));
    }
}
