package org.dogwoodwood.core.quota;

/**
 * The decision about one call of an account.
 *
 * @param admitted whether the call may start
 * @param retryMillis the time after which a refused call may be sent again, in milliseconds
 */
public record QuotaDecision(boolean admitted, int retryMillis) {

    private static final QuotaDecision ADMITTED = new QuotaDecision(true, 0);

    /** Returns the decision to start the call. */
    public static QuotaDecision admit() {
        return ADMITTED;
    }

    /** Returns the decision to refuse the call. */
    public static QuotaDecision refuse(int retryMillis) {
        return new QuotaDecision(false, retryMillis);
    }
}
