package org.dogwoodwood.core.retry;

import static org.dogwoodwood.core.Preconditions.checkArgument;

/** Token bucket that limits retries to a share of the successful calls. Not thread-safe. */
public final class RetryBudget {

    /** Maximum number of saved tokens, so that a retry storm cannot follow a long quiet period. */
    private static final double MAX_TOKENS = 20.0;

    /**
     * Maximum number of tokens saved by all nodes together. Targets can handle a burst of about 60
     * retries beyond the share; the remainder is reserved for the calls that retried calls make in
     * turn.
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
     * Returns a budget that initially allows a few retries.
     *
     * @param share the number of retries per successful call, from 0 to 1
     */
    public static RetryBudget of(double share) {
        checkArgument(share >= 0 && share <= 1, "The share of retries must be from 0 to 1.");
        return new RetryBudget(share);
    }

    /**
     * Sets the number of nodes with such a budget, which share the system-wide maximum of saved
     * tokens.
     *
     * @param nodes the number of nodes, including this one
     */
    public void setNodes(int nodes) {
        maxTokens = Math.min(MAX_TOKENS, Math.max(1, MAX_SYSTEM_TOKENS / Math.max(1, nodes)));
        tokens = Math.min(maxTokens, tokens);
    }

    /** Adds the tokens earned by one successful call. */
    public void onSuccess() {
        tokens = Math.min(maxTokens, tokens + share);
    }

    /**
     * Spends one token on a hedge and leaves one for a retry, which recovers from a failure. In a
     * system with so many nodes that a node saves less than two tokens, a part of one is left;
     * there, the share of hedges keeps tokens for retries.
     */
    boolean trySpendRest() {
        double reserved = Math.min(1, maxTokens - 1);
        if (tokens < 1 + reserved) {
            return false;
        }
        tokens -= 1;
        return true;
    }

    /** Spends one retry; returns false if the budget is exhausted. */
    public boolean trySpend() {
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
