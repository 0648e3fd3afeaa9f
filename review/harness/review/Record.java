package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The file with what was sent, answered and run, in seconds since its creation. */
final class Record implements AutoCloseable {

    private final PrintWriter out;
    private final long startNanos = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    /** Returns the time since the start, in milliseconds. */
    long millis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void write(String format, Object... arguments) {
        String text = String.format(Locale.ROOT, format, arguments);
        out.println(String.format(Locale.ROOT, "%8.3f %s", millis() / 1_000.0, text));
        out.flush();
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
