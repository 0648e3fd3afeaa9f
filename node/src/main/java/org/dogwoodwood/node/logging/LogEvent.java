package org.dogwoodwood.node.logging;

/**
 * The numbered log events of the node. {@code docs/log-events.md} lists them with their fields;
 * numbers are stable.
 */
public enum LogEvent {
    NODE_STARTED(101, Severity.INFO, "The node accepts requests."),
    NODE_LEAVING(102, Severity.INFO, "The node begins its graceful stop."),
    NODE_STOPPED(103, Severity.INFO, "The node has ended what was in flight and stops."),
    NODE_FAILED(104, Severity.ERROR, "The node cannot start or stop as it should."),
    STOP_INCOMPLETE(105, Severity.WARNING, "The graceful stop ended with calls in flight."),
    SETTINGS_READ(106, Severity.INFO, "SIGHUP came and the settings file was read again."),
    SETTINGS_UNUSABLE(107, Severity.ERROR, "SIGHUP came and the settings file is not valid."),
    TRAFFIC_TOTALS(108, Severity.INFO, "Totals of sent frames and calls to the log at the stop."),
    PORT_UNAVAILABLE(109, Severity.WARNING, "A port cannot be opened and is tried again."),
    PROCESS_ENDING(110, Severity.INFO, "The process ends; this is its last line."),
    UNCAUGHT_FAILURE(111, Severity.ERROR, "A thread or a handler failed unexpectedly."),
    PREVIOUS_PROCESS(112, Severity.INFO, "The platform log tells how the last process ended."),
    PORT_OPENED(115, Severity.INFO, "A port that could not be opened at first is open."),

    PEER_CONNECTED(201, Severity.INFO, "A connection to a peer is ready."),
    PEER_CONNECT_FAILED(202, Severity.WARNING, "A peer cannot be reached."),
    PEER_SILENT(203, Severity.WARNING, "A connection answers no pings and is closed."),
    PEER_REFUSED(204, Severity.WARNING, "A peer sent a wrong secret or protocol version."),
    FRAME_REFUSED(205, Severity.WARNING, "A malformed or oversized frame closes a connection."),
    CALLS_RESUMED(206, Severity.INFO, "Pending calls are resumed on a new connection."),
    PEER_RESTARTED(207, Severity.WARNING, "A guard restarted; its pending calls are unknown."),
    PEER_CLOSED(208, Severity.INFO, "A connection to a peer is closed."),

    TARGET_ANNOUNCED(301, Severity.INFO, "A target announced itself or a change."),
    TARGET_DOWN(302, Severity.WARNING, "The target does not answer."),
    TARGET_UP(303, Severity.INFO, "The target answers again and starts cold."),
    TARGET_COLD(304, Severity.INFO, "The target turned cold without having been down."),
    TARGET_DRAINING(305, Severity.INFO, "The target asked for no new work."),
    TARGET_CRASHED(306, Severity.WARNING, "The target broke calls in flight; they are suspect."),
    POLL_MALFORMED(307, Severity.WARNING, "The target's load report cannot be read."),
    ANNOUNCEMENT_IGNORED(
            308, Severity.WARNING, "An announcement is outdated or of another service."),
    TARGET_ANSWER_UNUSABLE(
            309, Severity.WARNING, "An answer of the target broke off, breaks HTTP or a limit."),
    ANNOUNCEMENT_REFUSED(310, Severity.WARNING, "A heartbeat passed a limit and is refused."),
    TARGET_REPLACED(
            311,
            Severity.WARNING,
            "Another process answers at the address of the target, which is out of service."),
    TARGET_ANSWER_FOREIGN(
            312, Severity.WARNING, "An answer came that is not the one to the waiting request."),
    TARGET_UNCONFIRMED(
            313, Severity.INFO, "The node has just started and awaits what it knew of the target."),
    TARGET_NOT_LEFT(
            314, Severity.WARNING, "A target that counted as gone goes on sending heartbeats."),
    TARGET_NOT_REPLACED(
            315,
            Severity.WARNING,
            "A target that seems older than the last one is the only one with heartbeats."),

    REQUEST_REFUSED(401, Severity.WARNING, "A caller's request breaks HTTP and is refused."),
    SLOW_SENDER(402, Severity.WARNING, "A caller did not send its whole request in time."),
    BODY_MEMORY_USED_UP(
            403, Severity.WARNING, "There is no memory for a body; its sender gets a refusal."),
    REQUEST_OUT_OF_ORDER(
            404,
            Severity.ERROR,
            "A request was dispatched out of order, and its connection is closed."),
    KEY_REFUSED(405, Severity.WARNING, "A request has no key of an account and is refused."),
    CALLER_DISPLACED(
            407, Severity.WARNING, "A waiting connection of a caller is closed to make room."),
    BODY_DISPLACED(
            410, Severity.WARNING, "An unfinished body is refused, since others need its memory."),

    ACCOUNT_LIMITED(
            408, Severity.WARNING, "An account exceeds its quota, and its calls get status 429."),
    ACCOUNT_NOT_LIMITED(409, Severity.INFO, "An account has been within its quota for 5 s."),

    CALL_REFUSED(451, Severity.INFO, "The node refused a call, which was not run."),
    CALL_RETRIED(452, Severity.INFO, "A call goes to another target."),
    CALL_HEDGED(453, Severity.INFO, "A call also goes to a second target."),
    CALL_FAILED(454, Severity.INFO, "A call ended without an answer of a target."),
    CALL_CANCELLED(455, Severity.INFO, "A caller left before its answer."),
    CALL_ANSWERED(
            456,
            Severity.INFO,
            "A call was answered late, with an error or after several attempts, or is a sample."),
    GUARD_REFUSED(457, Severity.INFO, "The guard refused an attempt, which was not run."),
    GUARD_ENDED(458, Severity.INFO, "An attempt at the target ended without an answer."),
    GUARD_ANSWERED(459, Severity.INFO, "The target answered late or with an error."),
    TRIAL_STARTED(460, Severity.INFO, "A blocked request runs on trial at the target."),
    TRIAL_ENDED(461, Severity.INFO, "A blocked request on trial has ended."),

    ADMIN_REFUSED(501, Severity.WARNING, "A request to the admin port lacks the shared secret."),
    HANDLER_FAILED(502, Severity.ERROR, "An unexpected failure was caught."),

    CONFIGURATION_IN_FORCE(601, Severity.INFO, "Another configuration version is in force."),
    DATA_CENTRE_ORDER(602, Severity.INFO, "The orders about data centres have changed."),
    MEMBER_SUSPECT(603, Severity.WARNING, "Exchanges with a member fail."),
    MEMBER_DEAD(604, Severity.WARNING, "A suspect member has not refuted the suspicion."),
    NODE_READY(605, Severity.INFO, "The node knows the configuration and the members."),
    INCARNATION_RAISED(606, Severity.WARNING, "A peer or the log knew a higher incarnation."),
    LOG_UNREACHABLE(607, Severity.WARNING, "The platform log cannot be read."),
    OFFSET_EXPIRED(608, Severity.WARNING, "Records expired before this node read them."),
    RECORD_UNREADABLE(609, Severity.WARNING, "A record of the platform log is skipped."),
    APPEND_FAILED(610, Severity.WARNING, "An append failed and will be repeated."),
    LOG_STATE_ASSUMED(611, Severity.WARNING, "The version is taken from the first record."),
    CONFIGURATION_DIFFERS(612, Severity.ERROR, "A peer has another document of a version."),
    LOG_REACHABLE(613, Severity.INFO, "The platform log can be read again."),
    LOG_RESTORED(614, Severity.WARNING, "The platform log came back from an older copy."),
    REQUEST_BLOCKED(
            615, Severity.WARNING, "A request that was at work at crashes runs on trial only."),
    REQUEST_CLEARED(616, Severity.INFO, "A request that was blocked may run as usual.");

    private static final int LINES_PER_SECOND = 10;

    // A node refuses or fails fewer calls per second unless its load is far beyond its capacity.
    private static final int CALL_LINES_PER_SECOND = 200;
    private static final int FIRST_CALL_NUMBER = 450;
    private static final int FIRST_ADMIN_NUMBER = 500;

    private final int number;
    private final Severity severity;
    private final String meaning;

    LogEvent(int number, Severity severity, String meaning) {
        this.number = number;
        this.severity = severity;
        this.meaning = meaning;
    }

    /** Returns the stable number. */
    public int number() {
        return number;
    }

    /** Returns the maximum number of lines of the event per second. */
    int maxLinesPerSecond() {
        return isCallEvent() ? CALL_LINES_PER_SECOND : LINES_PER_SECOND;
    }

    private boolean isCallEvent() {
        return number >= FIRST_CALL_NUMBER && number < FIRST_ADMIN_NUMBER;
    }

    /** Returns the severity. */
    public Severity severity() {
        return severity;
    }

    /** Returns a sentence that describes what has happened. */
    public String meaning() {
        return meaning;
    }
}
