package org.dogwoodwood.core.configuration;

import java.util.Arrays;
import java.util.Optional;

/** How often the calls of a route may run. */
public enum Execution {
    /** A call may run more than once. */
    IDEMPOTENT("idempotent", true),
    /** A call runs at most once. */
    AT_MOST_ONCE("at-most-once", false);

    private final String label;
    private final boolean repeatable;

    Execution(String label, boolean repeatable) {
        this.label = label;
        this.repeatable = repeatable;
    }

    /** Returns the execution with the given name in a file, or empty if there is none. */
    public static Optional<Execution> fromLabel(String label) {
        return Arrays.stream(values()).filter(value -> value.label.equals(label)).findFirst();
    }

    /** Returns the name in a file. */
    public String label() {
        return label;
    }

    /** Returns whether a call may run more than once. */
    public boolean isRepeatable() {
        return repeatable;
    }
}
