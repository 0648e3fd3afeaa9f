package org.dogwoodwood.node.logging;

import static org.dogwoodwood.core.Preconditions.checkArgument;

import java.util.EnumMap;
import java.util.Map;
import org.tinylog.Logger;

/**
 * Writes log events as lines of {@code key=value} fields to standard output, on a thread of its
 * own. Repeated events are limited, since a fault that touches every call must not fill a log. May
 * be used on any thread.
 */
public final class EventLog {

    private static final long SECOND_NANOS = 1_000_000_000L;

    private final Map<LogEvent, Window> windows = new EnumMap<>(LogEvent.class);

    private final LogWriter writer = LogWriter.start(EventLog::output);

    private EventLog() {}

    /** Returns a log that writes to tinylog. */
    public static EventLog create() {
        return new EventLog();
    }

    /**
     * Writes an event.
     *
     * @param event the event, not null
     * @param fields names and values in turn; a secret must never be among them
     */
    public void write(LogEvent event, Object... fields) {
        checkArgument(fields.length % 2 == 0, "Each field of a log event needs a value.");
        long suppressed = countSuppressed(event, System.nanoTime());
        if (suppressed < 0) {
            return;
        }
        String line = format(event, suppressed, fields);
        writer.write(new LogWriter.Line(event.severity(), line));
    }

    /** Returns how many lines were dropped because the reader of the log was too slow. */
    public long dropped() {
        return writer.dropped();
    }

    /** Waits a short time until the lines so far are written; call it before the process ends. */
    public void flush() {
        writer.flush();
    }

    private static void output(LogWriter.Line line) {
        switch (line.severity()) {
            case INFO -> Logger.info((Object) line.text());
            case WARNING -> Logger.warn((Object) line.text());
            default -> Logger.error((Object) line.text());
        }
    }

    /** Returns the line of an event, without time and level. */
    static String format(LogEvent event, long suppressed, Object... fields) {
        StringBuilder line = new StringBuilder(128);
        line.append("event=").append(event.number()).append(" name=").append(event.name());
        for (int i = 0; i < fields.length; i += 2) {
            line.append(' ').append(fields[i]).append('=');
            appendValue(line, String.valueOf(fields[i + 1]));
        }
        if (suppressed > 0) {
            line.append(" suppressed=").append(suppressed);
        }
        return line.toString();
    }

    private static void appendValue(StringBuilder line, String value) {
        boolean plain = !value.isEmpty() && value.chars().allMatch(c -> c > ' ' && c != '"');
        if (plain) {
            line.append(value);
            return;
        }
        line.append('"');
        for (int i = 0; i < value.length(); i++) {
            char c = value.charAt(i);
            if (c == '"' || c == '\\') {
                line.append('\\').append(c);
            } else {
                // A line break in a value must not start a line that looks like an event.
                line.append(c < ' ' ? ' ' : c);
            }
        }
        line.append('"');
    }

    /** Returns how many lines were left out before this one, or -1 to leave this one out. */
    private synchronized long countSuppressed(LogEvent event, long nowNanos) {
        Window window = windows.get(event);
        if (window == null || nowNanos - window.startNanos > SECOND_NANOS) {
            long suppressed =
                    window == null ? 0 : Math.max(0, window.lines - event.maxLinesPerSecond());
            windows.put(event, new Window(nowNanos));
            return suppressed;
        }
        window.lines++;
        return window.lines > event.maxLinesPerSecond() ? -1 : 0;
    }

    private static final class Window {

        private final long startNanos;
        private long lines = 1;

        Window(long startNanos) {
            this.startNanos = startNanos;
        }
    }
}
