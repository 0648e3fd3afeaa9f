package org.dogwoodwood.cli.trace;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.dogwoodwood.core.ErrorCode;

/** The log lines about one request in chronological order, and the cause of its outcome. */
public final class RequestTrace {

    private static final Set<String> INGRESS_FINAL_EVENTS =
            Set.of("CALL_REFUSED", "CALL_FAILED", "CALL_CANCELLED", "CALL_ANSWERED");
    private static final Set<String> GUARD_FINAL_EVENTS = Set.of("GUARD_REFUSED", "GUARD_ENDED");

    private final String requestId;
    private final List<LogLine> lines = new ArrayList<>();

    private RequestTrace(String requestId) {
        this.requestId = requestId;
    }

    /** Returns an empty trace for a request. */
    public static RequestTrace of(String requestId) {
        return new RequestTrace(requestId);
    }

    /** Adds a log line if it belongs to the request. */
    public void add(String line) {
        LogLine.parse(line)
                .filter(parsed -> parsed.belongsToRequest(requestId))
                .ifPresent(lines::add);
    }

    /** Returns whether the trace has no lines. */
    public boolean isEmpty() {
        return lines.isEmpty();
    }

    /** Returns the lines in chronological order. */
    public List<String> sortedText() {
        return sorted().stream().map(LogLine::text).toList();
    }

    /** Returns how the request ended and why, in one or more sentences. */
    public String cause() {
        Optional<LogLine> end = lastLine(INGRESS_FINAL_EVENTS);
        if (end.isEmpty()) {
            return "No node logged the end of the request: its node stopped or restarted, the line"
                    + " was suppressed, or it was an ordinary response, of which only a sample"
                    + " is logged.";
        }
        LogLine line = end.get();
        return switch (line.name()) {
            case "CALL_CANCELLED" ->
                    "The caller disconnected after " + line.field("age_ms") + " ms.";
            case "CALL_ANSWERED" ->
                    "A target responded with HTTP status "
                            + line.field("status")
                            + " after "
                            + line.field("age_ms")
                            + " ms.";
            default -> describeFailure(line);
        };
    }

    private String describeFailure(LogLine end) {
        boolean refused = end.name().equals("CALL_REFUSED");
        return (refused ? "Refused and not run: " : "Failed and may have run: ")
                + end.field("error")
                + " after "
                + end.field("age_ms")
                + " ms and "
                + end.field("attempts")
                + " attempts. "
                + lastLine(GUARD_FINAL_EVENTS)
                        .map(RequestTrace::describeGuard)
                        .orElse("No guard logged an attempt. ")
                + remedyOf(end.field("error"));
    }

    private static String describeGuard(LogLine guard) {
        return "The guard that ended attempt "
                + guard.field("attempt")
                + " had "
                + guard.field("in_flight")
                + " calls in flight of "
                + guard.field("limit")
                + ", "
                + guard.field("queued")
                + " queued, a target in state "
                + guard.field("state")
                + " with slowdown "
                + guard.field("slowdown")
                + ", and "
                + guard.field("left_ms")
                + " ms left. ";
    }

    private static String remedyOf(String error) {
        return Arrays.stream(ErrorCode.values())
                .filter(code -> code.name().equals(error))
                .findFirst()
                .map(ErrorCode::remedy)
                .orElse("");
    }

    /** Returns the last line of the request itself, ignoring nested calls made by its target. */
    private Optional<LogLine> lastLine(Set<String> names) {
        return sorted().stream()
                .filter(line -> line.field("request").equals(requestId))
                .filter(line -> names.contains(line.name()))
                .reduce((earlier, later) -> later);
    }

    // The sort is stable, so that lines of one node keep their order within a millisecond.
    private List<LogLine> sorted() {
        return lines.stream().sorted(Comparator.comparing(line -> line.field("time"))).toList();
    }
}
