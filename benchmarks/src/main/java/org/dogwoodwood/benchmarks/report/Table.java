package org.dogwoodwood.benchmarks.report;

import java.util.List;
import java.util.Locale;

/** Formats rows as a Markdown table. */
public final class Table {

    private static final double PERCENT = 100;

    private Table() {}

    /** Returns a Markdown table with a header and one line per row. */
    public static String format(List<Row> rows) {
        StringBuilder table = new StringBuilder();
        table.append(
                "| workload | service times | load % | policy | p50 ms | p99 ms | p99.9 ms"
                        + " | goodput % | of capacity % | refused % | refusal max ms | wasted %"
                        + " | messages per call | polls per call |\n");
        table.append("|---|---|--:|---|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|\n");
        rows.forEach(row -> table.append(line(row)));
        return table.toString();
    }

    private static String line(Row row) {
        return String.format(
                Locale.ROOT,
                "| %s | %s | %.0f | %s | %.1f | %.1f | %.1f | %.2f | %.1f | %.2f | %.1f | %.2f"
                        + " | %.2f | %.4f |%n",
                row.workload(),
                row.serviceTimes(),
                row.load() * PERCENT,
                row.policy(),
                row.p50Millis(),
                row.p99Millis(),
                row.p999Millis(),
                row.goodput() * PERCENT,
                row.capacityShare() * PERCENT,
                row.refused() * PERCENT,
                row.refusalMaxMillis(),
                row.wastedWork() * PERCENT,
                row.messagesPerCall(),
                row.pollsPerCall());
    }
}
