package org.dogwoodwood.core.configuration;

import java.util.Comparator;

/**
 * The part of the configuration that a problem concerns.
 *
 * @param file the file, empty if unknown
 * @param line the line, from 1; 0 if unknown
 * @param object the object, for example {@code service.outings}; empty if the problem concerns none
 * @param key the key, empty if the problem concerns none
 */
public record ProblemLocation(String file, int line, String object, String key)
        implements Comparable<ProblemLocation> {

    private static final Comparator<ProblemLocation> ORDER =
            Comparator.comparing(ProblemLocation::file)
                    .thenComparing(ProblemLocation::line)
                    .thenComparing(ProblemLocation::object)
                    .thenComparing(ProblemLocation::key);

    /** Returns the location of a line, or of a file as a whole if the line is 0. */
    public static ProblemLocation ofLine(String file, int line) {
        return new ProblemLocation(file, line, "", "");
    }

    @Override
    public int compareTo(ProblemLocation other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        StringBuilder text = new StringBuilder(file);
        if (line > 0) {
            text.append(':').append(line);
        }
        if (!object.isEmpty()) {
            text.append(text.isEmpty() ? "" : ": ").append(object);
        }
        if (!key.isEmpty()) {
            text.append('.').append(key);
        }
        return text.toString();
    }
}
