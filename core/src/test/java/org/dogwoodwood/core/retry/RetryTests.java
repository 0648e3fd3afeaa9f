package org.dogwoodwood.core.retry;

import static org.assertj.core.api.Assertions.assertThat;

import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.core.model.Outcome;
import org.junit.jupiter.api.Test;

class RetryTests {

    private static final long SECOND = 1_000_000_000L;

    private final RetryBudget budget = RetryBudget.of(0.1);
    private final RetryStrategy strategy = DefaultRetryStrategy.create(budget);

    // A non-idempotent call that may have run must never be retried.
    @Test
    void neverRetriesACallThatMayHaveRunUnlessIdempotent() {
        assertThat(retry(Outcome.UNKNOWN, ErrorCode.OUTCOME_UNKNOWN, false)).isFalse();
        assertThat(retry(Outcome.UNKNOWN, ErrorCode.OUTCOME_UNKNOWN, true)).isTrue();
    }

    // Unlimited retries multiply the load of targets that already fail.
    @Test
    void retriesStayWithinAShareOfSuccesses() {
        int retries = 0;
        for (int i = 0; i < 1_000; i++) {
            budget.onSuccess();
            retries += retry(Outcome.UNKNOWN, ErrorCode.TARGET_FAILED, true) ? 1 : 0;
        }
        assertThat(retries).isBetween(90, 102);
    }

    // After a quiet period, nodes that each spend all their saved tokens multiply the load of a
    // failing service.
    @Test
    void nodesShareTheSystemWideTokenLimit() {
        int nodes = 12;
        int retries = 0;
        for (int node = 0; node < nodes; node++) {
            RetryBudget one = RetryBudget.of(0.1);
            one.setNodes(nodes);
            for (int i = 0; i < 1_000; i++) {
                one.onSuccess();
            }
            while (one.trySpend()) {
                retries++;
            }
        }
        assertThat(retries).isBetween(nodes, 60);
    }

    // A busy guard is not a failure: its calls must reach another target even if the budget is
    // exhausted.
    @Test
    void busyGuardsDoNotDrawOnTheBudget() {
        while (budget.trySpend()) {
            assertThat(retry(Outcome.NOT_RUN, ErrorCode.GUARD_BUSY, false)).isTrue();
        }
        assertThat(retry(Outcome.NOT_RUN, ErrorCode.GUARD_BUSY, false)).isTrue();
        assertThat(retry(Outcome.NOT_RUN, ErrorCode.TARGET_DRAINING, false)).isTrue();
        assertThat(retry(Outcome.NOT_RUN, ErrorCode.INCARNATION_CHANGED, false)).isTrue();
        assertThat(retry(Outcome.NOT_RUN, ErrorCode.KEY_NOT_OWNED, false)).isFalse();
        assertThat(strategy.shouldRetry(6, Outcome.NOT_RUN, ErrorCode.GUARD_BUSY, false, SECOND))
                .isFalse();
        assertThat(retry(Outcome.NOT_RUN, ErrorCode.OVERLOADED, false)).isFalse();
    }

    // Every call sent to a dead node is refused; with the budget exhausted, those calls were lost.
    @Test
    void deadGuardsDoNotDrawOnTheBudget() {
        while (budget.trySpend()) {
            assertThat(retry(Outcome.NOT_RUN, ErrorCode.NO_TARGET, false)).isTrue();
        }
        assertThat(retry(Outcome.NOT_RUN, ErrorCode.NO_TARGET, false)).isTrue();
        assertThat(strategy.shouldRetry(6, Outcome.NOT_RUN, ErrorCode.NO_TARGET, false, SECOND))
                .isFalse();
    }

    // When calls wait at every target, trying the targets in turn delays the refusal by round
    // trips.
    @Test
    void allowsQueueingOnTheFirstAttemptWhenAllTargetsAreBusy() {
        assertThat(strategy.mayQueue(0, 4, 1_000_000, 6_000_000)).isFalse();
        assertThat(strategy.mayQueue(2, 2, 1_000_000, 6_000_000)).isTrue();
        assertThat(strategy.mayQueue(0, 4, 13_000_000, 6_000_000)).isTrue();
        assertThat(strategy.mayQueue(0, 4, 80_000_000, 0)).isTrue();
    }

    // A wait that was short compared to the service time was taken as a sign that all targets are
    // full, and the first guard refused calls as overloaded while others had free slots.
    @Test
    void triesFurtherGuardsWhileTheWaitIsShortForALongCall() {
        assertThat(strategy.mayQueue(0, 4, 30_000_000, 130_000_000)).isFalse();
        assertThat(strategy.mayQueue(0, 4, 50_000_000, 130_000_000)).isTrue();
    }

    // A call that has waited in a queue must not be refused as overloaded by the next guard.
    @Test
    void nextAttemptMarksCallsThatMayHaveQueued() {
        assertThat(strategy.nextAttempt(1, false)).isEqualTo(1);
        assertThat(strategy.nextAttempt(1, true))
                .isEqualTo(RetryStrategy.MIN_ATTEMPT_AFTER_QUEUEING);
        assertThat(strategy.nextAttempt(4, true)).isEqualTo(4);
    }

    // Hedges based on too few samples double the load right after a start.
    @Test
    void hedgesAfterTheMeasuredQuantileOnly() {
        HedgeStrategy hedges = QuantileHedgeStrategy.create(0.95, HedgeBudget.of(0.02, budget));
        for (int i = 0; i < 150; i++) {
            hedges.onAnswered(i * 1_000_000L);
        }
        assertThat(hedges.delayNanos()).isEmpty();
        for (int i = 0; i < 2_000; i++) {
            hedges.onAnswered(i % 100 * 1_000_000L);
        }
        assertThat(hedges.delayNanos().orElseThrow()).isBetween(90_000_000L, 100_000_000L);
    }

    private boolean retry(Outcome outcome, ErrorCode code, boolean idempotent) {
        return strategy.shouldRetry(1, outcome, code, idempotent, SECOND);
    }
}
