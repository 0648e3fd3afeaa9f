import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run to record.txt, with the time since the start. */
final class Record {

    private static final long START_NANOS = System.nanoTime();

    private final PrintWriter out;

    Record(Path file) {
        try {
            out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the time since the start, in milliseconds. */
    static long now() {
        return (System.nanoTime() - START_NANOS) / 1_000_000;
    }

    synchronized void write(String format, Object... arguments) {
        String text = arguments.length == 0 ? format : String.format(Locale.ROOT, format, arguments);
        out.printf(Locale.ROOT, "%8.3f s  %s%n", now() / 1000.0, text);
        out.flush();
    }
}
