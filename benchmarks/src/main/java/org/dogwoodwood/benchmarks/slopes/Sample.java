package org.dogwoodwood.benchmarks.slopes;

import java.util.Objects;

/**
 * A value measured at one size of the system.
 *
 * @param quantity the measured quantity
 * @param sizeUnit the plural of what the size counts, for example members
 * @param size the size at which the value was measured, in size units
 * @param value the measured value
 * @param unit the unit of the value
 */
public record Sample(Quantity quantity, String sizeUnit, int size, double value, Unit unit) {

    /** Creates a sample; no reference may be null. */
    public Sample {
        Objects.requireNonNull(quantity, "quantity");
        Objects.requireNonNull(sizeUnit, "sizeUnit");
        Objects.requireNonNull(unit, "unit");
    }

    /** The unit of a measured value. */
    public enum Unit {
        BYTES("bytes"),
        MICROSECONDS("us"),
        ROUNDS("rounds"),
        PERCENT_OF_CORE("% of a core"),
        BYTES_PER_SECOND("bytes/s");

        private final String symbol;

        Unit(String symbol) {
            this.symbol = symbol;
        }

        /** Returns the symbol of the unit in the report and the CSV file. */
        public String symbol() {
            return symbol;
        }
    }
}
