package org.dogwoodwood.core;

/** Checks of arguments and state that throw an exception with a message. */
public final class Preconditions {

    private Preconditions() {}

    /**
     * Asserts that an argument satisfies its contract.
     *
     * @param condition the condition that must hold
     * @param message the exception message, which says what the caller must change
     * @throws IllegalArgumentException if {@code condition} is false
     */
    public static void checkArgument(boolean condition, String message) {
        if (!condition) {
            throw new IllegalArgumentException(message);
        }
    }

    /**
     * Asserts that an object is in the state that an operation requires.
     *
     * @param condition the condition that must hold
     * @param message the exception message, which says what must happen before the operation
     * @throws IllegalStateException if {@code condition} is false
     */
    public static void checkState(boolean condition, String message) {
        if (!condition) {
            throw new IllegalStateException(message);
        }
    }
}
