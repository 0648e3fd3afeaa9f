package org.dogwoodwood.core;

import java.util.Arrays;
import java.util.Optional;
import org.dogwoodwood.core.model.Outcome;

/**
 * The error codes, each with a number, an HTTP status, the outcome reported to the caller and a
 * remedy.
 *
 * <p>Numbers are stable. 1xxx are invalid requests, 2xxx refusals of calls that were not run, 3xxx
 * calls with an unknown outcome, 4xxx concern the configuration, 5xxx the settings, 6xxx the
 * platform log, 7xxx the protocol between nodes, and 8xxx the command-line tool.
 */
public enum ErrorCode {
    BAD_REQUEST(1001, 400, Outcome.NOT_RUN, "Correct the request as the message says."),
    UNKNOWN_SERVICE(1002, 404, Outcome.NOT_RUN, "Use the name of a configured service."),
    REQUEST_TOO_LARGE(1003, 413, Outcome.NOT_RUN, "Send a smaller body."),
    DEPTH_EXCEEDED(1004, 508, Outcome.NOT_RUN, "Look for a loop between services."),
    UNKNOWN_ACCOUNT_KEY(
            1005, 401, Outcome.NOT_RUN, "Send a key of an account in the Authorization field."),
    HEAD_TOO_LARGE(1007, 431, Outcome.NOT_RUN, "Send fewer or shorter header fields."),

    OVERLOADED(2001, 503, Outcome.NOT_RUN, "Send the request again after Retry-After."),
    CLASS_LIMIT(2002, 429, Outcome.NOT_RUN, "Send fewer requests of this class at a time."),
    NO_TARGET(2003, 503, Outcome.NOT_RUN, "Check with 'dogwoodwood status' that targets are up."),
    DEADLINE_TOO_SHORT(2004, 503, Outcome.NOT_RUN, "Allow more time for the request."),
    TARGET_DRAINING(2005, 503, Outcome.NOT_RUN, "Send the request again."),
    DATA_CENTRE_OUT(2006, 503, Outcome.NOT_RUN, "Return a data centre of this service."),
    LEASE_LAPSED(2007, 503, Outcome.NOT_RUN, "Send the request again."),
    INCARNATION_CHANGED(2008, 503, Outcome.NOT_RUN, "Send the request again."),
    CRASHING_REQUEST(2009, 503, Outcome.NOT_RUN, "Do not repeat this request: it crashed targets."),
    KEY_IN_DOUBT(2010, 503, Outcome.NOT_RUN, "Repeat with the same key after Retry-After."),
    KEY_IN_PROGRESS(2011, 409, Outcome.NOT_RUN, "Wait for the first request with this key."),
    KEY_NOT_OWNED(2012, 503, Outcome.NOT_RUN, "Send the request again."),
    CANCELLED(2013, 503, Outcome.NOT_RUN, "Send the request again if its answer is still needed."),
    GUARD_BUSY(2014, 503, Outcome.NOT_RUN, "Send the request again after Retry-After."),
    KEY_REUSED(2015, 422, Outcome.NOT_RUN, "Use a new key for a different request."),
    TARGET_REFUSED(2016, 503, Outcome.NOT_RUN, "Send the request again after Retry-After."),
    NO_CONFIGURATION(2017, 503, Outcome.NOT_RUN, "Send the request again after Retry-After."),
    NODE_STOPPING(2018, 503, Outcome.NOT_RUN, "Send the request to another node."),
    QUOTA_EXCEEDED(2019, 429, Outcome.NOT_RUN, "Send the request again after Retry-After."),

    OUTCOME_UNKNOWN(3001, 502, Outcome.UNKNOWN, "Find out whether the request took effect."),
    DEADLINE_EXCEEDED(3002, 504, Outcome.UNKNOWN, "Find out whether the request took effect."),
    ANSWER_TOO_LARGE(3003, 502, Outcome.UNKNOWN, "Raise max_answer_bytes of the service."),
    TARGET_FAILED(3004, 502, Outcome.UNKNOWN, "Find out whether the request took effect."),
    REQUEST_REPEATED(3005, 502, Outcome.UNKNOWN, "Send the request again with a new request id."),

    CONFIGURATION_SYNTAX(4001, 400, Outcome.NOT_RUN, "Correct the TOML at the given line."),
    UNKNOWN_KEY(4002, 400, Outcome.NOT_RUN, "Remove the key or correct its spelling."),
    DANGLING_REFERENCE(4003, 400, Outcome.NOT_RUN, "Define the object or correct its name."),
    DUPLICATE_OBJECT(4004, 400, Outcome.NOT_RUN, "Keep one definition of the object."),
    CONTRADICTORY_LIMITS(4005, 400, Outcome.NOT_RUN, "Make the limits agree."),
    VALUE_OUT_OF_RANGE(4006, 400, Outcome.NOT_RUN, "Use a value within the range."),
    MISSING_KEY(4007, 400, Outcome.NOT_RUN, "Add the key."),
    WRONG_TYPE(4008, 400, Outcome.NOT_RUN, "Use a value of the expected type."),
    PUBLICATION_CONFLICT(
            4101, 409, Outcome.NOT_RUN, "Edit from the version in force; publish again."),

    SETTINGS_INVALID(5001, 400, Outcome.NOT_RUN, "Correct the settings file."),
    ADDRESS_IN_USE(5002, 500, Outcome.NOT_RUN, "Choose a free port or stop the other process."),

    LOG_UNAVAILABLE(6001, 503, Outcome.UNKNOWN, "Wait for the platform log and try again."),
    LOG_RATE_LIMITED(6002, 429, Outcome.NOT_RUN, "Append fewer records a second."),
    OFFSET_EXPIRED(6003, 410, Outcome.NOT_RUN, "Read on from the first retained offset."),
    LOG_PROTOCOL(6004, 502, Outcome.UNKNOWN, "Check that log_address is a platform log."),

    FRAME_MALFORMED(7001, 400, Outcome.NOT_RUN, "Run the same release on every node."),
    FRAME_TOO_LARGE(7002, 413, Outcome.NOT_RUN, "Lower max_request_bytes or max_answer_bytes."),
    SECRET_MISMATCH(7003, 403, Outcome.NOT_RUN, "Give every node the same shared secret."),

    USAGE(8001, 400, Outcome.NOT_RUN, "Run the command with --help."),
    NOT_IN_FORCE(
            8002, 504, Outcome.UNKNOWN, "Run 'dogwoodwood status' to see where it is missing."),
    UNREACHABLE(8003, 503, Outcome.UNKNOWN, "Check the address and that the process runs."),
    ORDER_REFUSED(8004, 400, Outcome.NOT_RUN, "Correct the order as the message says."),
    TOOL_DEFECT(8005, 500, Outcome.UNKNOWN, "Report the defect with this message.");

    private final int number;
    private final int httpStatus;
    private final Outcome outcome;
    private final String remedy;

    ErrorCode(int number, int httpStatus, Outcome outcome, String remedy) {
        this.number = number;
        this.httpStatus = httpStatus;
        this.outcome = outcome;
        this.remedy = remedy;
    }

    /** Returns the error code with the given number, or empty if there is none. */
    public static Optional<ErrorCode> fromNumber(int number) {
        return Arrays.stream(values()).filter(code -> code.number == number).findFirst();
    }

    /** Returns the stable number. */
    public int number() {
        return number;
    }

    /** Returns the HTTP status of an answer that carries this error. */
    public int httpStatus() {
        return httpStatus;
    }

    /** Returns the known effect of a call that ended with this error. */
    public Outcome outcome() {
        return outcome;
    }

    /** Returns the remedy, addressed to the receiver of the error. */
    public String remedy() {
        return remedy;
    }

    /** Returns whether an answer with this error should carry a {@code Retry-After} header. */
    public boolean hasRetryAfter() {
        return httpStatus == 429 || httpStatus == 503;
    }
}
