package org.dogwoodwood.node.ingress;

import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.dogwoodwood.core.quota.QuotaLimit;

/**
 * The refusal of a call because of the quota of its account.
 *
 * @param limit the limit of the account
 * @param retryMillis the time after which the call may be sent again, in milliseconds
 */
public record QuotaRefusal(QuotaLimit limit, int retryMillis) {

    /** Returns a message for the caller, without the remedy. */
    String detail() {
        return String.format(
                Locale.ROOT,
                "The account %s may send %s calls per second and a burst of %d.",
                limit.account(),
                limit.callsPerSecond(),
                limit.burst());
    }

    /** Returns the time after which the call may be sent again, in nanoseconds. */
    long retryAfterNanos() {
        return TimeUnit.MILLISECONDS.toNanos(retryMillis);
    }
}
