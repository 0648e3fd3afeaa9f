package org.dogwoodwood.node.guard;

import java.util.Objects;
import org.dogwoodwood.node.logging.EventLog;
import org.dogwoodwood.node.logging.LogEvent;
import org.dogwoodwood.node.metrics.NodeMetrics;
import org.dogwoodwood.node.settings.Endpoint;

/** Logs and counts the answers of one target that cannot be used, with the request they came to. */
final class TargetAnswerLog {

    private final Endpoint address;
    private final EventLog log;
    private final NodeMetrics metrics;

    TargetAnswerLog(Endpoint address, EventLog log, NodeMetrics metrics) {
        this.address = Objects.requireNonNull(address, "address");
        this.log = Objects.requireNonNull(log, "log");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
    }

    /**
     * Logs that the answer to a request broke off, breaks HTTP or passes a limit.
     *
     * @param requestId the request that waited for the answer, not null
     * @param connection the local port of the connection on which it was sent
     * @param reason a sentence that describes the fault
     */
    void onUnusable(String requestId, int connection, String reason) {
        log.write(
                LogEvent.TARGET_ANSWER_UNUSABLE,
                "address",
                address,
                "request",
                requestId,
                "connection",
                connection,
                "reason",
                reason);
    }

    /**
     * Logs and counts an answer that came in place of the answer to a request and does not belong
     * to it.
     *
     * @param requestId the request that waited for its answer; empty if none did
     * @param connection the local port of the connection
     * @param status the HTTP status of the answer
     * @param answeredId the id of the request that it belongs to; empty if it carries none
     */
    void onForeign(String requestId, int connection, int status, String answeredId) {
        metrics.onForeignAnswer();
        log.write(
                LogEvent.TARGET_ANSWER_FOREIGN,
                "address",
                address,
                "request",
                requestId,
                "connection",
                connection,
                "answered_request",
                answeredId,
                "status",
                status);
    }

    /** Logs a poll that was not answered as it should be. */
    void onFailedPoll(Throwable failure) {
        log.write(
                LogEvent.TARGET_ANSWER_UNUSABLE,
                "address",
                address,
                "reason",
                "Poll failed: " + failure + ".");
    }
}
