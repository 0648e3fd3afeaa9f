package org.dogwoodwood.standins.target;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts how often each call was started. The counts survive crashes of the target, since they are
 * the evidence of what it ran.
 */
final class ExecutionCounter {

    private static final long BUCKET_MILLIS = 10;

    private final Map<String, Integer> byCall = new HashMap<>();
    private final Map<String, Integer> byKey = new HashMap<>();
    private final TreeMap<Long, Integer> byTime = new TreeMap<>();
    private long total;

    /**
     * Records the start of a call.
     *
     * @param callId the call id, or null
     * @param key the idempotency key, or null
     * @param nowMillis the wall-clock time in milliseconds
     */
    void recordStart(String callId, String key, long nowMillis) {
        total++;
        byTime.merge(nowMillis / BUCKET_MILLIS, 1, Integer::sum);
        if (callId != null) {
            byCall.merge(callId, 1, Integer::sum);
        }
        if (key != null) {
            byKey.merge(key, 1, Integer::sum);
        }
    }

    /**
     * Returns the counts.
     *
     * @param fromMillis the start of the window of {@code in_window}, in milliseconds since 1970
     * @param toMillis the end of that window
     * @param all whether to list every call and key, not only those that ran more than once
     */
    JsonObject toJson(long fromMillis, long toMillis, boolean all) {
        int minCount = all ? 1 : 2;
        long inWindow =
                byTime
                        .subMap(fromMillis / BUCKET_MILLIS, true, toMillis / BUCKET_MILLIS, true)
                        .values()
                        .stream()
                        .mapToLong(Integer::longValue)
                        .sum();
        return new JsonObject()
                .put("total", total)
                .put("in_window", inWindow)
                .put("calls", byCall.size())
                .put("keys", byKey.size())
                .put("by_call", toList(byCall, minCount))
                .put("by_key", toList(byKey, minCount));
    }

    private static JsonArray toList(Map<String, Integer> counts, int minCount) {
        JsonArray list = new JsonArray();
        counts.forEach(
                (id, count) -> {
                    if (count >= minCount) {
                        list.add(new JsonObject().put("id", id).put("count", count));
                    }
                });
        return list;
    }
}
