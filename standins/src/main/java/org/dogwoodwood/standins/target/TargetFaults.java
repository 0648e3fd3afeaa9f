package org.dogwoodwood.standins.target;

import io.vertx.core.json.JsonObject;

/**
 * The injected faults; fields omitted from {@code POST /control} keep their values.
 *
 * @param slowFactor the factor by which calls take longer than usual; 1 for no fault
 * @param failFast whether every call is answered at once with 500
 * @param falseHealth whether {@code /health} reports the opposite of the actual health
 * @param falseInFlight the number of calls in flight that {@code /load} reports; -1 for the actual
 *     number
 * @param crashOn a call whose body contains this text crashes the target; empty for none
 * @param unresponsive whether calls are accepted but never answered
 */
record TargetFaults(
        double slowFactor,
        boolean failFast,
        boolean falseHealth,
        int falseInFlight,
        String crashOn,
        boolean unresponsive) {

    static TargetFaults none() {
        return new TargetFaults(1, false, false, -1, "", false);
    }

    /** Returns these faults with the fields present in {@code change} replaced. */
    TargetFaults with(JsonObject change) {
        return new TargetFaults(
                change.getDouble("slow_factor", slowFactor),
                change.getBoolean("fail_fast", failFast),
                change.getBoolean("health_lie", falseHealth),
                change.getInteger("load_lie", falseInFlight),
                change.getString("crash_on", crashOn),
                change.getBoolean("unresponsive", unresponsive));
    }

    boolean crashes(String body) {
        return !crashOn.isEmpty() && body.contains(crashOn);
    }
}
