package org.dogwoodwood.core.configuration;

/**
 * A policy for the calls of a service under load and faults.
 *
 * @param name the name
 * @param retryShare retries as a share of successful calls, from 0 to 0.5
 * @param hedgeQuantile the latency quantile after which an idempotent call is hedged, from 0.5 to
 *     below 1; 0 for no hedges
 * @param queueLimitMillis the maximum expected wait in a guard's queue, in milliseconds
 * @param coldSlots the maximum number of concurrent calls at a cold target
 * @param ejectionShare the maximum share of a service's targets that may be ejected
 * @param crashLimit the number of crashes without a success in between from which on a request that
 *     was in flight runs on trial only
 * @param crashHoldSeconds how long a request is refused after it crashed a target on trial, in
 *     seconds
 * @param coldCallsPerSecond the maximum rate of calls to a cold target, per second; 0 for no limit
 * @param dataCentreCostMillis how much longer a call may take in the local data centre before a
 *     target in another one is preferred, in milliseconds
 * @param hedgeShare hedges as a share of the calls of a service, from 0 to 0.2; 0 for no hedges
 */
public record PolicyDefinition(
        String name,
        double retryShare,
        double hedgeQuantile,
        int queueLimitMillis,
        int coldSlots,
        double ejectionShare,
        int crashLimit,
        int crashHoldSeconds,
        double coldCallsPerSecond,
        int dataCentreCostMillis,
        double hedgeShare)
        implements ConfigurationObject {

    /** The name of the policy of services that name none. */
    public static final String DEFAULT_NAME = "default";

    public static final double DEFAULT_RETRY_SHARE = 0.1;
    public static final double DEFAULT_HEDGE_QUANTILE = 0.95;
    public static final int DEFAULT_QUEUE_LIMIT_MILLIS = 100;
    public static final int DEFAULT_COLD_SLOTS = 1;
    public static final double DEFAULT_EJECTION_SHARE = 0.34;
    public static final int DEFAULT_CRASH_LIMIT = 2;
    public static final int DEFAULT_CRASH_HOLD_SECONDS = 600;
    public static final double DEFAULT_COLD_CALLS_PER_SECOND = 0;
    public static final int DEFAULT_DATA_CENTRE_COST_MILLIS = 0;
    public static final double DEFAULT_HEDGE_SHARE = 0.02;

    /** Creates a policy with the default share of hedges. */
    public PolicyDefinition(
            String name,
            double retryShare,
            double hedgeQuantile,
            int queueLimitMillis,
            int coldSlots,
            double ejectionShare,
            int crashLimit,
            int crashHoldSeconds,
            double coldCallsPerSecond,
            int dataCentreCostMillis) {
        this(
                name,
                retryShare,
                hedgeQuantile,
                queueLimitMillis,
                coldSlots,
                ejectionShare,
                crashLimit,
                crashHoldSeconds,
                coldCallsPerSecond,
                dataCentreCostMillis,
                DEFAULT_HEDGE_SHARE);
    }

    /**
     * Returns this policy with another share of hedges.
     *
     * @param newHedgeShare hedges as a share of the calls of a service, from 0 to 0.2
     */
    public PolicyDefinition withHedgeShare(double newHedgeShare) {
        return new PolicyDefinition(
                name,
                retryShare,
                hedgeQuantile,
                queueLimitMillis,
                coldSlots,
                ejectionShare,
                crashLimit,
                crashHoldSeconds,
                coldCallsPerSecond,
                dataCentreCostMillis,
                newHedgeShare);
    }

    /** Returns a policy with the given name and all defaults. */
    public static PolicyDefinition withDefaults(String name) {
        return new PolicyDefinition(
                name,
                DEFAULT_RETRY_SHARE,
                DEFAULT_HEDGE_QUANTILE,
                DEFAULT_QUEUE_LIMIT_MILLIS,
                DEFAULT_COLD_SLOTS,
                DEFAULT_EJECTION_SHARE,
                DEFAULT_CRASH_LIMIT,
                DEFAULT_CRASH_HOLD_SECONDS,
                DEFAULT_COLD_CALLS_PER_SECOND,
                DEFAULT_DATA_CENTRE_COST_MILLIS);
    }
}
