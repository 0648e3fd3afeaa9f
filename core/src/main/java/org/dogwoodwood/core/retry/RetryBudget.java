package org.dogwoodwood.core.retry;

import static org.dogwoodwood.core.Preconditions.checkArgument;

/** Limits retries and hedges to a share of the successful calls; used by one thread. */
public final class RetryBudget {

    /** Saved tokens are bounded so that a long quiet time does not allow a storm of retries. */
    private static final double MAX_TOKENS = 20.0;

    /**
     * Tokens that all nodes together may save. Targets bear about 60 retries beyond the share at a
     * time; the rest is left for calls that retried calls make.
     */
    private static final double MAX_SYSTEM_TOKENS = 40.0;

    private static final double INITIAL_TOKENS = 2.0;

    private final double share;
    private double maxTokens = MAX_TOKENS;
    private double tokens = INITIAL_TOKENS;

    private RetryBudget(double share) {
        this.share = share;
    }

    /**
     * Returns a budget that allows a few retries at first.
     *
     * @param share retries per successful call, from 0 to 1
     */
    public static RetryBudget of(double share) {
        checkArgument(share >= 0 && share <= 1, "The share of retries must be from 0 to 1.");
        return new RetryBudget(share);
    }

    /**
     * Takes in how many nodes have such a budget, which divide what the system may save.
     *
     * @param nodes the number of nodes, this one included
     */
    public void setNodes(int nodes) {
        maxTokens = Math.min(MAX_TOKENS, Math.max(1, MAX_SYSTEM_TOKENS / Math.max(1, nodes)));
        tokens = Math.min(maxTokens, tokens);
    }

    /** Counts one successful call. */
    public void onSuccess() {
        tokens = Math.min(maxTokens, tokens + share);
    }

    /** Spends one retry or hedge and returns true, or returns false if the budget is used up. */
    public boolean trySpend() {
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
