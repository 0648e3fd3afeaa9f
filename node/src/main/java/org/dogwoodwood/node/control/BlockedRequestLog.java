package org.dogwoodwood.node.control;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import org.dogwoodwood.core.configuration.Configuration;
import org.dogwoodwood.core.configuration.PolicyDefinition;
import org.dogwoodwood.core.health.CrashPolicy;
import org.dogwoodwood.core.health.CrashStatus;
import org.dogwoodwood.core.health.CrashSuspicion;
import org.dogwoodwood.core.routing.RoutingTable;
import org.dogwoodwood.node.logging.EventLog;
import org.dogwoodwood.node.logging.LogEvent;

/** Logs when requests are blocked, or are no longer, because of crashes of targets. */
final class BlockedRequestLog {

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final EventLog log;
    private Map<Long, CrashSuspicion> blocked = Map.of();

    BlockedRequestLog(EventLog log) {
        this.log = Objects.requireNonNull(log, "log");
    }

    /** Logs what has changed since the table before. */
    void onTable(RoutingTable table) {
        CrashPolicy policy = strictestPolicy(table.configuration());
        Map<Long, CrashSuspicion> next = new HashMap<>(table.suspicions());
        next.values().removeIf(found -> found.status(policy) != CrashStatus.BLOCKED);
        next.forEach((fingerprint, found) -> logBlocked(fingerprint, found, policy));
        for (long fingerprint : blocked.keySet()) {
            if (!next.containsKey(fingerprint)) {
                log.write(LogEvent.REQUEST_CLEARED, "fingerprint", Long.toHexString(fingerprint));
            }
        }
        blocked = next;
    }

    private void logBlocked(long fingerprint, CrashSuspicion found, CrashPolicy policy) {
        if (found.equals(blocked.get(fingerprint))) {
            return;
        }
        log.write(
                LogEvent.REQUEST_BLOCKED,
                "fingerprint",
                Long.toHexString(fingerprint),
                "crashes",
                found.crashes(),
                "trial_weight",
                found.trialWeight(),
                "answered_before",
                found.answeredBefore(),
                "refused_ms",
                found.refusedNanos(policy) / NANOS_PER_MILLI);
    }

    /** Returns the policy by which a request is blocked first; its service is not known. */
    private static CrashPolicy strictestPolicy(Configuration configuration) {
        return configuration.policies().values().stream()
                .map(CrashPolicy::of)
                .min((one, other) -> Integer.compare(one.crashLimit(), other.crashLimit()))
                .orElseGet(() -> CrashPolicy.of(PolicyDefinition.withDefaults("default")));
    }
}
