package org.dogwoodwood.core.retry;

import java.util.EnumSet;
import java.util.Objects;
import java.util.Set;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.core.model.Outcome;

/**
 * Retries a call only if it was certainly not run or is idempotent.
 *
 * <p>Retries after a refusal by a busy, leaving or dead guard are limited per call but do not spend
 * the budget; all other retries do.
 */
public final class DefaultRetryStrategy implements RetryStrategy {

    private static final int MAX_ATTEMPTS = 6;
    private static final int MAX_ATTEMPTS_WITHOUT_QUEUE = 2;

    /** Refusals that another target, or another incarnation of the same one, may not repeat. */
    private static final Set<ErrorCode> LOCAL_REFUSALS =
            EnumSet.of(ErrorCode.KEY_NOT_OWNED, ErrorCode.TARGET_REFUSED);

    /**
     * Refusals that cost one message and no work, and do not reach a target. While a data centre
     * leaves or a node is down, they occur more often than a retry budget would allow.
     */
    private static final Set<ErrorCode> REFUSALS_BEFORE_WORK =
            EnumSet.of(
                    ErrorCode.GUARD_BUSY,
                    ErrorCode.NO_TARGET,
                    ErrorCode.INCARNATION_CHANGED,
                    ErrorCode.TARGET_DRAINING,
                    ErrorCode.DATA_CENTRE_OUT,
                    ErrorCode.LEASE_LAPSED);

    private final RetryBudget budget;

    private DefaultRetryStrategy(RetryBudget budget) {
        this.budget = Objects.requireNonNull(budget, "budget");
    }

    /**
     * Returns a strategy that spends the given budget.
     *
     * @param budget the budget of retries and hedges, not null
     */
    public static DefaultRetryStrategy create(RetryBudget budget) {
        return new DefaultRetryStrategy(budget);
    }

    @Override
    public boolean mayQueue(int attemptsMade, int untriedTargets) {
        return attemptsMade >= MAX_ATTEMPTS_WITHOUT_QUEUE || untriedTargets <= 1;
    }

    @Override
    public boolean shouldRetry(
            int attemptsMade,
            Outcome outcome,
            ErrorCode code,
            boolean idempotent,
            long remainingNanos) {
        if (attemptsMade >= MAX_ATTEMPTS || remainingNanos <= 0) {
            return false;
        }
        if (outcome == Outcome.NOT_RUN) {
            return REFUSALS_BEFORE_WORK.contains(code)
                    || (LOCAL_REFUSALS.contains(code) && budget.trySpend());
        }
        return idempotent && code != ErrorCode.ANSWER_TOO_LARGE && budget.trySpend();
    }
}
