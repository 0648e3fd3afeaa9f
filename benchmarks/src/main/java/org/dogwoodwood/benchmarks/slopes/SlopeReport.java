package org.dogwoodwood.benchmarks.slopes;

import java.io.PrintStream;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;

/** Reports the samples of all quantities and the linear fit of each. */
final class SlopeReport {

    private static final String ROW = "%-50s %12s %14s %14s %9s  %s%n";

    private final List<Sample> samples;

    private SlopeReport(List<Sample> samples) {
        this.samples = List.copyOf(samples);
    }

    static SlopeReport of(List<Sample> samples) {
        return new SlopeReport(samples);
    }

    /** Prints a row per quantity with intercept, slope, largest deviation and largest sample. */
    void print(PrintStream out) {
        out.printf(ROW, "quantity", "unit", "at size 0", "per one more", "spread", "largest");
        byQuantity().forEach((quantity, group) -> printRow(out, quantity, group));
    }

    /** Writes a header and each sample as a line of comma-separated values. */
    void writeCsv(PrintStream out) {
        out.println("quantity,role,per,size,value,unit");
        for (Sample sample : samples) {
            out.printf(
                    Locale.ROOT,
                    "%s,%s,%s,%d,%.4f,%s%n",
                    sample.quantity().csvName(),
                    sample.quantity().role().name().toLowerCase(Locale.ROOT),
                    sample.sizeUnit(),
                    sample.size(),
                    sample.value(),
                    sample.unit().symbol());
        }
    }

    private static void printRow(PrintStream out, Quantity quantity, List<Sample> group) {
        Sample largest = group.get(group.size() - 1);
        String unit = largest.unit().symbol();
        String atLargest =
                number(largest.value()) + " at " + largest.size() + " " + largest.sizeUnit();
        if (group.size() == 1) {
            out.printf(ROW, quantity.description(), unit, "", "", "", atLargest);
            return;
        }
        LinearFit fit = LinearFit.of(group);
        out.printf(
                ROW,
                quantity.description(),
                unit,
                number(fit.intercept()),
                number(fit.slope()),
                String.format(Locale.ROOT, "%.0f %%", 100 * fit.largestDeviation()),
                atLargest);
    }

    private static String number(double value) {
        return String.format(Locale.ROOT, Math.abs(value) < 100 ? "%.4f" : "%.0f", value);
    }

    private Map<Quantity, List<Sample>> byQuantity() {
        return samples.stream()
                .collect(
                        Collectors.groupingBy(
                                Sample::quantity, LinkedHashMap::new, Collectors.toList()));
    }
}
