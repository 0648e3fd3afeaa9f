package org.dogwoodwood.codec.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Maps the tables and keys of a TOML file to their line numbers, which the TOML parser discards.
 *
 * <p>A line inside a multi-line string can be mistaken for a key. This affects only the line
 * numbers in messages.
 */
final class TomlLineIndex {

    private static final String SEGMENT = "(?:[A-Za-z0-9_-]+|\"[^\"]*\"|'[^']*')";
    private static final String PATH = SEGMENT + "(?:\\s*\\.\\s*" + SEGMENT + ")*";
    private static final Pattern TABLE =
            Pattern.compile("\\s*\\[\\s*(" + PATH + ")\\s*]\\s*(?:#.*)?");
    private static final Pattern KEY = Pattern.compile("\\s*(" + PATH + ")\\s*=.*");
    private static final Pattern SEGMENT_PATTERN = Pattern.compile(SEGMENT);

    private final Map<List<String>, Integer> lines = new HashMap<>();
    private final List<RepeatedTable> repeatedTables = new ArrayList<>();

    private TomlLineIndex() {}

    /** Creates the index of the text of a file. */
    static TomlLineIndex of(String text) {
        TomlLineIndex index = new TomlLineIndex();
        Set<List<String>> tables = new HashSet<>();
        List<String> table = List.of();
        int number = 0;
        for (String line : text.split("\n", -1)) {
            number++;
            Matcher header = TABLE.matcher(line.stripTrailing());
            Matcher key = KEY.matcher(line);
            if (header.matches()) {
                table = segments(header.group(1));
                if (!tables.add(table)) {
                    index.repeatedTables.add(new RepeatedTable(table, number, index.lineOf(table)));
                }
                index.lines.putIfAbsent(table, number);
            } else if (key.matches()) {
                index.add(table, segments(key.group(1)), number);
            }
        }
        return index;
    }

    /** Returns the line number of a table or key, or 0 if it is unknown. */
    int lineOf(List<String> path) {
        return lines.getOrDefault(path, 0);
    }

    /** Returns the tables whose header is repeated, which TOML does not allow. */
    List<RepeatedTable> repeatedTables() {
        return List.copyOf(repeatedTables);
    }

    private void add(List<String> table, List<String> key, int number) {
        for (int length = 1; length <= key.size(); length++) {
            List<String> path = new ArrayList<>(table);
            path.addAll(key.subList(0, length));
            lines.putIfAbsent(List.copyOf(path), number);
        }
    }

    private static List<String> segments(String path) {
        return SEGMENT_PATTERN
                .matcher(path)
                .results()
                .map(result -> unquote(result.group()))
                .toList();
    }

    private static String unquote(String segment) {
        boolean quoted = segment.startsWith("\"") || segment.startsWith("'");
        return quoted ? segment.substring(1, segment.length() - 1) : segment;
    }

    /**
     * A repeated table header.
     *
     * @param path the name of the table, split at its dots
     * @param line the line number of the repeated header
     * @param firstLine the line number of the first header
     */
    record RepeatedTable(List<String> path, int line, int firstLine) {}
}
