package org.dogwoodwood.standins.caller;

import io.vertx.core.json.JsonObject;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * The counts and latencies of a load. Not thread-safe: confined to one event loop until the load
 * has completed.
 */
public final class LoadResult {

    private static final long MAX_MICROS = 120_000_000;
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double MICROS_PER_MILLI = 1_000;
    private static final int MAX_FAILURE_EXAMPLES = 5;

    private final Map<CallResult, Integer> counts = new EnumMap<>(CallResult.class);
    private final Map<String, Histogram> latencies = new TreeMap<>();
    private final Map<String, Integer> retryReasons = new TreeMap<>();
    private final Map<String, String> failureExamples = new TreeMap<>();
    private int nonIdempotent;
    private int retries;

    LoadResult() {}

    /** Records the result of a call; the latency is measured from the time at which it was due. */
    void onCompleted(PlannedCall call, CallResult result, long latencyNanos, String detail) {
        counts.merge(result, 1, Integer::sum);
        if (result == CallResult.ANSWERED) {
            latencies
                    .computeIfAbsent(
                            call.service(), name -> new Histogram(MAX_MICROS, SIGNIFICANT_DIGITS))
                    .recordValue(Math.min(MAX_MICROS, latencyNanos / 1_000));
        } else if (failureExamples.size() < MAX_FAILURE_EXAMPLES) {
            failureExamples.put(call.id(), result + ": " + detail);
        }
        if (!call.isIdempotent()) {
            nonIdempotent++;
        }
    }

    void onRetry(String reason) {
        retries++;
        retryReasons.merge(reason, 1, Integer::sum);
    }

    /** Returns how many calls completed with the given result. */
    public int count(CallResult result) {
        return counts.getOrDefault(result, 0);
    }

    /** Returns how many calls have completed. */
    public int total() {
        return counts.values().stream().mapToInt(Integer::intValue).sum();
    }

    /** Returns how many of the completed calls were not idempotent. */
    public int nonIdempotent() {
        return nonIdempotent;
    }

    /** Returns the latencies of answered calls in microseconds, by service. */
    public Map<String, Histogram> latencies() {
        return latencies;
    }

    /** Returns the counts and latencies as JSON. */
    public JsonObject toJson() {
        JsonObject json = new JsonObject().put("calls", total());
        for (CallResult result : CallResult.values()) {
            json.put(result.name().toLowerCase(Locale.ROOT), count(result));
        }
        json.put("non_idempotent", nonIdempotent).put("repeated", retries);
        JsonObject services = new JsonObject();
        latencies.forEach((service, histogram) -> services.put(service, latencyJson(histogram)));
        JsonObject reasons = new JsonObject();
        retryReasons.forEach(reasons::put);
        JsonObject examples = new JsonObject();
        failureExamples.forEach(examples::put);
        return json.put("latency_ms", services)
                .put("repeated_because", reasons)
                .put("examples", examples);
    }

    private static JsonObject latencyJson(Histogram histogram) {
        return new JsonObject()
                .put("count", histogram.getTotalCount())
                .put("p50", histogram.getValueAtPercentile(50) / MICROS_PER_MILLI)
                .put("p99", histogram.getValueAtPercentile(99) / MICROS_PER_MILLI)
                .put("p999", histogram.getValueAtPercentile(99.9) / MICROS_PER_MILLI)
                .put("max", histogram.getMaxValue() / MICROS_PER_MILLI);
    }
}
