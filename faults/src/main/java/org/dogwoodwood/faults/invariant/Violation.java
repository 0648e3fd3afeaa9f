package org.dogwoodwood.faults.invariant;

/**
 * A violation of an invariant.
 *
 * @param invariant the number of the invariant, from 1 to 9
 * @param atNanos the virtual time of the violation, in nanoseconds
 * @param detail the description of the violation
 */
public record Violation(int invariant, long atNanos, String detail) {

    @Override
    public String toString() {
        return "invariant " + invariant + " at " + atNanos / 1_000_000 + " ms: " + detail;
    }
}
