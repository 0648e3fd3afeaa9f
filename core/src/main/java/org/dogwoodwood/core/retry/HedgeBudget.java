package org.dogwoodwood.core.retry;

import static org.dogwoodwood.core.Preconditions.checkArgument;

import java.util.Objects;

/**
 * Token bucket that limits hedges to a share of the calls of a service at this node, and to what
 * the retries leave of their budget. Not thread-safe.
 */
public final class HedgeBudget {

    private static final double MAX_TOKENS = 5;

    /** Maximum number of tokens saved by all nodes together, unless there are more nodes. */
    private static final double MAX_SYSTEM_TOKENS = 20;

    private final RetryBudget retries;
    private double share;
    private double maxTokens = MAX_TOKENS;
    private double tokens;

    private HedgeBudget(double share, RetryBudget retries) {
        this.share = share;
        this.retries = Objects.requireNonNull(retries, "retries");
    }

    /**
     * Returns a budget that allows no hedge until calls have earned one.
     *
     * @param share the number of hedges per call, from 0 to 1; 0 for none
     * @param retries the budget of retries, of which hedges get only the rest, not null
     */
    public static HedgeBudget of(double share, RetryBudget retries) {
        checkShare(share);
        return new HedgeBudget(share, retries);
    }

    /**
     * Changes the share. Tokens are kept, except that none remain if there are to be no hedges.
     *
     * @param newShare the number of hedges per call, from 0 to 1; 0 for none
     */
    public void setShare(double newShare) {
        checkShare(newShare);
        share = newShare;
        tokens = share == 0 ? 0 : tokens;
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

    /** Adds the tokens earned by one call that was sent to a target for the first time. */
    public void onCall() {
        tokens = Math.min(maxTokens, tokens + share);
    }

    /** Spends one hedge; returns false if the budget is exhausted or retries need theirs. */
    public boolean trySpend() {
        if (tokens < 1 || !retries.trySpendRest()) {
            return false;
        }
        tokens -= 1;
        return true;
    }

    private static void checkShare(double share) {
        checkArgument(share >= 0 && share <= 1, "The share of hedges must be from 0 to 1.");
    }
}
