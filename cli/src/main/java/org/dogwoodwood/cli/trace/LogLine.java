package org.dogwoodwood.cli.trace;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One line of a node's log.
 *
 * @param text the whole line, including any prefix added by a log collector
 * @param fields the fields of the event by name, in the order of the line
 */
record LogLine(String text, Map<String, String> fields) {

    private static final Pattern FIELD =
            Pattern.compile("([a-z_]+)=(?:\"((?:[^\"\\\\]|\\\\.)*)\"|(\\S*))");
    private static final String EVENT_FIELD = "event";

    /** Reads a line; empty if it is not a log event. */
    static Optional<LogLine> parse(String text) {
        Map<String, String> fields = new LinkedHashMap<>();
        Matcher matcher = FIELD.matcher(text);
        while (matcher.find()) {
            String quoted = matcher.group(2);
            fields.put(matcher.group(1), quoted == null ? matcher.group(3) : quoted);
        }
        return fields.containsKey(EVENT_FIELD)
                ? Optional.of(new LogLine(text, fields))
                : Optional.empty();
    }

    /** Returns the name of the event, empty if the line has none. */
    String name() {
        return field("name");
    }

    /** Returns a field, empty if the line does not have it. */
    String field(String name) {
        return fields.getOrDefault(name, "");
    }

    /** Returns whether the line belongs to a request or to a nested call made by its target. */
    boolean belongsToRequest(String requestId) {
        String request = field("request");
        return request.equals(requestId) || request.startsWith(requestId + ".");
    }
}
