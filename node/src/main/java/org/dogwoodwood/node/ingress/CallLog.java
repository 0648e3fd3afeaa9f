package org.dogwoodwood.node.ingress;

import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.core.calls.FinishedCall;
import org.dogwoodwood.core.model.CallId;
import org.dogwoodwood.core.model.NodeId;
import org.dogwoodwood.core.model.Outcome;
import org.dogwoodwood.node.logging.EventLog;
import org.dogwoodwood.node.logging.LogEvent;

/** Logs the decisions of the ingress about one call, with their reasons. */
final class CallLog {

    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final int SERVER_ERROR = 500;

    // One in this many ordinary answers is logged, as a sample of normal operation.
    private static final int SAMPLE_INTERVAL = 200;

    private final EventLog log;
    private final CallId id;
    private final String service;
    private final IngressRequest request;

    CallLog(EventLog log, CallId id, String service, IngressRequest request) {
        this.log = log;
        this.id = id;
        this.service = service;
        this.request = request;
    }

    void onCancelled(int attempts) {
        log.write(
                LogEvent.CALL_CANCELLED,
                "request",
                requestId(),
                "service",
                service,
                "attempts",
                attempts,
                "age_ms",
                ageMillis());
    }

    void onRetried(int attempt, NodeId target, ErrorCode error) {
        log.write(
                LogEvent.CALL_RETRIED,
                "request",
                requestId(),
                "service",
                service,
                "attempt",
                attempt,
                "target",
                target,
                "error",
                error,
                "age_ms",
                ageMillis());
    }

    void onHedged(NodeId slowTarget, NodeId target) {
        log.write(
                LogEvent.CALL_HEDGED,
                "request",
                requestId(),
                "slow_target",
                slowTarget,
                "target",
                target,
                "age_ms",
                ageMillis());
    }

    /**
     * Logs the answer of a target to the call; of ordinary answers, only a sample is logged.
     *
     * @param status the HTTP status of the answer
     * @param attempt the number of the attempt that was answered
     * @param target the node of the target that answered, not null
     * @param attempts the number of attempts made
     * @param sent the number of attempts that may have reached a target
     */
    void onAnswered(int status, int attempt, NodeId target, int attempts, int sent) {
        boolean late = ageMillis() > request.parameters().timeoutMillis() / 2;
        boolean sample = id.counter() % SAMPLE_INTERVAL == 0;
        if (status < SERVER_ERROR && !late && sent <= 1 && !sample) {
            return;
        }
        log.write(
                LogEvent.CALL_ANSWERED,
                "request",
                requestId(),
                "service",
                service,
                "class",
                request.callClass(),
                "status",
                status,
                "attempt",
                attempt,
                "target",
                target,
                "attempts",
                attempts,
                "sent",
                sent,
                "age_ms",
                ageMillis());
    }

    /** Logs that the call ended without an answer of a target. */
    void onEndedWithoutAnswer(FinishedCall result, int attempts, int targets) {
        boolean refused = result.outcome() == Outcome.NOT_RUN;
        log.write(
                refused ? LogEvent.CALL_REFUSED : LogEvent.CALL_FAILED,
                "request",
                requestId(),
                "service",
                service,
                "class",
                request.callClass(),
                "error",
                result.error().orElseThrow(),
                "attempts",
                attempts,
                "targets",
                targets,
                "limit_ms",
                request.parameters().timeoutMillis(),
                "age_ms",
                ageMillis());
    }

    private String requestId() {
        String callerRequestId = request.parameters().requestId();
        return callerRequestId.isEmpty() ? id.toString() : callerRequestId;
    }

    private long ageMillis() {
        return (System.nanoTime() - request.arrivedNanos()) / NANOS_PER_MILLI;
    }
}
