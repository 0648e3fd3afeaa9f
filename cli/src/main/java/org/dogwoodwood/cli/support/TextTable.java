package org.dogwoodwood.cli.support;

import java.util.ArrayList;
import java.util.List;

/** A table with aligned columns. */
public final class TextTable {

    private static final String GAP = "  ";

    private final List<String[]> rows = new ArrayList<>();

    private TextTable() {}

    /** Returns a table with a header and no rows. */
    public static TextTable withHeader(String... header) {
        return new TextTable().addRow(header);
    }

    /** Adds a row with one cell for each column. */
    public TextTable addRow(String... cells) {
        rows.add(cells.clone());
        return this;
    }

    /** Returns the header and the rows as text. */
    public List<String> lines() {
        int[] widths = new int[rows.get(0).length];
        for (String[] row : rows) {
            for (int column = 0; column < widths.length; column++) {
                widths[column] = Math.max(widths[column], row[column].length());
            }
        }
        return rows.stream().map(row -> formatRow(row, widths)).toList();
    }

    private static String formatRow(String[] row, int[] widths) {
        StringBuilder line = new StringBuilder();
        for (int column = 0; column < widths.length; column++) {
            line.append(row[column])
                    .append(" ".repeat(widths[column] - row[column].length()))
                    .append(GAP);
        }
        return line.toString().stripTrailing();
    }
}
