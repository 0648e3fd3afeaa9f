package org.dogwoodwood.core.configuration;

import java.util.Map;

/**
 * The location of an object in a configuration file.
 *
 * @param file the name of the file, empty if unknown
 * @param line the line of the object's table header, from 1; 0 if unknown
 * @param keyLines the line of each key that is present
 */
public record SourceLocation(String file, int line, Map<String, Integer> keyLines) {

    /** Copies the map. */
    public SourceLocation {
        keyLines = Map.copyOf(keyLines);
    }

    /** Returns the location of an object that was not read from a file. */
    public static SourceLocation unknown() {
        return new SourceLocation("", 0, Map.of());
    }

    /** Returns the line of a key, or of the object if the key is not present. */
    public int lineOf(String key) {
        return keyLines.getOrDefault(key, line);
    }
}
