package org.dogwoodwood.standins.caller;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.dogwoodwood.standins.support.Address;

/** Sums the executions reported by several stand-in targets. */
public final class ExecutionReport {

    private ExecutionReport() {}

    /**
     * Queries targets for their executions.
     *
     * @param vertx the Vert.x instance, not null
     * @param targets the targets; the report fails if one of them does not respond
     * @param fromMillis the start of the counted window, in milliseconds since 1970
     * @param toMillis the end of the counted window, in milliseconds since 1970
     */
    public static Future<Summary> of(
            Vertx vertx, List<Address> targets, long fromMillis, long toMillis) {
        HttpClient client = vertx.createHttpClient();
        String path = "/executions?all=true&from_ms=" + fromMillis + "&to_ms=" + toMillis;
        List<Future<JsonObject>> responses = new ArrayList<>();
        for (Address target : targets) {
            responses.add(
                    client.request(HttpMethod.GET, target.port(), target.host(), path)
                            .compose(request -> request.send().compose(response -> response.body()))
                            .map(body -> body.toJsonObject()));
        }
        return Future.join(responses)
                .map(all -> summarize(responses.stream().map(Future::result).toList()))
                .onComplete(all -> client.close());
    }

    private static Summary summarize(List<JsonObject> responses) {
        long total = 0;
        long inWindow = 0;
        Map<String, Integer> byKey = new HashMap<>();
        for (JsonObject response : responses) {
            total += response.getLong("total");
            inWindow += response.getLong("in_window");
            for (Object entry : response.getJsonArray("by_key")) {
                JsonObject count = (JsonObject) entry;
                byKey.merge(count.getString("id"), count.getInteger("count"), Integer::sum);
            }
        }
        List<String> repeated =
                byKey.entrySet().stream()
                        .filter(entry -> entry.getValue() > 1)
                        .map(Map.Entry::getKey)
                        .sorted()
                        .toList();
        return new Summary(total, inWindow, byKey.size(), repeated);
    }

    /**
     * The executions of all targets together.
     *
     * @param total the number of all executions
     * @param inWindow the number of executions that started within the window
     * @param keys the number of distinct idempotency keys
     * @param repeatedKeys the keys that ran more than once
     */
    public record Summary(long total, long inWindow, int keys, List<String> repeatedKeys) {

        /** Returns the counts as JSON. */
        public JsonObject toJson() {
            return new JsonObject()
                    .put("total", total)
                    .put("in_window", inWindow)
                    .put("keys", keys)
                    .put("run_twice", repeatedKeys.size());
        }
    }
}
