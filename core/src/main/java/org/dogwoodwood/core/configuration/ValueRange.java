package org.dogwoodwood.core.configuration;

import java.math.BigDecimal;

/**
 * The range of allowed values of a numeric key.
 *
 * @param minimum the lower bound
 * @param minimumIncluded whether the lower bound itself is allowed
 * @param maximum the upper bound
 * @param maximumIncluded whether the upper bound itself is allowed
 * @param zeroAllowed whether 0 is allowed although it lies outside the bounds
 */
public record ValueRange(
        double minimum,
        boolean minimumIncluded,
        double maximum,
        boolean maximumIncluded,
        boolean zeroAllowed) {

    /** Returns the range with both bounds included. */
    public static ValueRange closed(double minimum, double maximum) {
        return new ValueRange(minimum, true, maximum, true, false);
    }

    /** Returns the range without its lower bound. */
    public static ValueRange above(double minimum, double maximum) {
        return new ValueRange(minimum, false, maximum, true, false);
    }

    /** Returns the range without its upper bound, together with 0. */
    public static ValueRange belowOrZero(double minimum, double maximum) {
        return new ValueRange(minimum, true, maximum, false, true);
    }

    /** Returns whether the value is allowed. */
    public boolean contains(double value) {
        if (zeroAllowed && value == 0) {
            return true;
        }
        boolean highEnough = minimumIncluded ? value >= minimum : value > minimum;
        boolean lowEnough = maximumIncluded ? value <= maximum : value < maximum;
        return highEnough && lowEnough;
    }

    /** Returns the range in words, for example {@code "from 1 to 1000"}. */
    public String description() {
        String bounds =
                (minimumIncluded ? "from " : "above ")
                        + plain(minimum)
                        + (maximumIncluded ? " to " : " to below ")
                        + plain(maximum);
        return zeroAllowed ? "0, or " + bounds : bounds;
    }

    private static String plain(double value) {
        return BigDecimal.valueOf(value).stripTrailingZeros().toPlainString();
    }
}
