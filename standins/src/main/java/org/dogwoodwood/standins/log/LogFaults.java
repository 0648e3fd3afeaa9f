package org.dogwoodwood.standins.log;

import io.vertx.core.json.JsonObject;

/**
 * The injected faults; fields omitted from {@code POST /control} keep their values.
 *
 * @param down whether every request is answered with 503
 * @param delayMillis the delay of each response, in milliseconds
 * @param responsesToLose how many of the next append responses are dropped, after the append has
 *     taken effect
 * @param downAfterAppend whether the log goes down after the next append that takes effect
 * @param deduplicate whether a repeated publication id returns the first offset; if false, it is
 *     appended again
 */
record LogFaults(
        boolean down,
        long delayMillis,
        int responsesToLose,
        boolean downAfterAppend,
        boolean deduplicate) {

    static LogFaults none() {
        return new LogFaults(false, 0, 0, false, true);
    }

    /** Returns these faults with the fields present in {@code change} replaced. */
    LogFaults with(JsonObject change) {
        return new LogFaults(
                change.getBoolean("down", down),
                change.getLong("delay_ms", delayMillis),
                change.getInteger("lose_answers", responsesToLose),
                change.getBoolean("down_after_append", downAfterAppend),
                change.getBoolean("deduplicate", deduplicate));
    }

    /** Returns the faults that remain after an append has taken effect. */
    LogFaults afterAppend() {
        return new LogFaults(
                down || downAfterAppend,
                delayMillis,
                Math.max(0, responsesToLose - 1),
                false,
                deduplicate);
    }
}
