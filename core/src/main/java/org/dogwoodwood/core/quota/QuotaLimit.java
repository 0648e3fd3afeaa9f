package org.dogwoodwood.core.quota;

import static org.dogwoodwood.core.Preconditions.checkArgument;

import java.util.Objects;
import org.dogwoodwood.core.configuration.AccountDefinition;

/**
 * The limit of an account over all nodes together.
 *
 * @param account the name of the account
 * @param callsPerSecond the sustained rate, 0 for no limit
 * @param burst the number of calls above the rate that may be made at once
 */
public record QuotaLimit(String account, double callsPerSecond, int burst) {

    // The upper bound of 1.1 x (5 R + B) + 20 calls in 5 s allows 0.5 R + 0.1 B + 20 calls above
    // the
    // limit. The depth uses 0.1 R + 0.1 B + 6 of them and a start 0.1 R + 6; the rest covers the
    // time
    // until all nodes have noticed a failure.
    private static final double DEPTH_BURST_FACTOR = 1.1;
    private static final double RATE_MARGIN_SECONDS = 0.1;
    private static final double MARGIN_CALLS = 6;

    // A slot with a depth of less than two tokens would often hold only a fraction of one.
    private static final double MIN_SLOT_DEPTH = 2;
    private static final int MAX_SLOTS = 8;
    private static final int MIN_SLOTS = 3;

    /** Checks the ranges. */
    public QuotaLimit {
        Objects.requireNonNull(account, "account");
        checkArgument(
                callsPerSecond >= 0 && Double.isFinite(callsPerSecond),
                "The calls per second must be finite and not negative.");
        checkArgument(burst >= 0, "The burst must not be negative.");
    }

    /** Returns the limit of a configured account. */
    public static QuotaLimit of(AccountDefinition account) {
        return new QuotaLimit(account.name(), account.callsPerSecond(), account.burst());
    }

    /** Returns whether the calls of the account are limited. */
    public boolean isLimited() {
        return callsPerSecond > 0;
    }

    /** Returns the number of tokens that all slots together hold at most. */
    public double depth() {
        return DEPTH_BURST_FACTOR * burst + RATE_MARGIN_SECONDS * callsPerSecond + MARGIN_CALLS;
    }

    /** Returns the number of tokens that all slots together hold when they start. */
    public double startLevel() {
        return RATE_MARGIN_SECONDS * callsPerSecond + MARGIN_CALLS;
    }

    /**
     * Returns the number of slots into which the limit is divided.
     *
     * @param dataCentres the number of known data centres, at least 1
     */
    public int slots(int dataCentres) {
        int most = Math.min(MAX_SLOTS, Math.max(MIN_SLOTS, dataCentres));
        return (int) Math.max(1, Math.min(most, Math.floor(depth() / MIN_SLOT_DEPTH)));
    }
}
