package org.dogwoodwood.standins.log;

import io.vertx.core.json.JsonObject;

/**
 * The faults that are switched on; fields left out of {@code POST /control} keep their value.
 *
 * @param down whether every request is answered with 503
 * @param delayMillis how long each response is held back, in milliseconds
 * @param loseAnswers how many append responses are lost after the append took effect
 * @param downAfterAppend whether the next append that takes effect takes the log down
 * @param deduplicate whether a repeated publication id returns the first offset; if false, it is
 *     appended again
 */
record LogFaults(
        boolean down,
        long delayMillis,
        int loseAnswers,
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
                change.getInteger("lose_answers", loseAnswers),
                change.getBoolean("down_after_append", downAfterAppend),
                change.getBoolean("deduplicate", deduplicate));
    }

    /** Returns the faults that are left when an append has taken effect. */
    LogFaults afterAppend() {
        return new LogFaults(
                down || downAfterAppend,
                delayMillis,
                Math.max(0, loseAnswers - 1),
                false,
                deduplicate);
    }
}
