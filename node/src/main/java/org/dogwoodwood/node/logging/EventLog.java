package org.dogwoodwood.node.logging;

import static org.dogwoodwood.core.Preconditions.checkArgument;

import java.util.EnumMap;
import java.util.Map;
import org.tinylog.Logger;

/**
 * Writes log events as lines of {@code key=value} fields to standard output, on a separate thread.
 * The rate of each event is limited, since a fault that affects every call must not flood the log.
 * May be used on any thread.
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
     * @param fields alternating names and values, which must not contain a secret
     */
    public void write(LogEvent event, Object... fields) {
        checkArgument(fields.length % 2 == 0, "Each field of a log event must have a value.");
        long suppressed = countSuppressed(event, System.nanoTime());
        if (suppressed < 0) {
            return;
        }
        String line = format(event, suppressed, fields);
        writer.write(new LogWriter.Line(event.severity(), line));
    }

    /** Writes an event, waits a limited time until it is written, and ignores later events. */
    public void writeLast(LogEvent event, Object... fields) {
        String line = format(event, 0, fields);
        writer.writeLast(new LogWriter.Line(event.severity(), line));
        writer.flush();
    }

    /** Returns the number of lines dropped because standard output was read too slowly. */
    public long dropped() {
        return writer.dropped();
    }

    /**
     * Waits a limited time for queued lines to be written; to be called before the process ends.
     */
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

    /** Returns the line of an event, without timestamp and severity. */
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
                // Prevents a line break in a value from starting a forged event line.
                line.append(c < ' ' ? ' ' : c);
            }
        }
        line.append('"');
    }

    /** Returns how many lines were suppressed before this one, or -1 to suppress this one too. */
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
