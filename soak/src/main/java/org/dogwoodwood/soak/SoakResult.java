package org.dogwoodwood.soak;

import java.io.PrintStream;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The outcome of a soak.
 *
 * @param counts what happened how often
 * @param violations the broken rules
 */
record SoakResult(Map<String, Integer> counts, List<Violation> violations) {

    private static final int PRINTED_VIOLATIONS_OF_RULE = 10;

    SoakResult {
        counts = Map.copyOf(counts);
        violations = List.copyOf(violations);
    }

    /** Returns how often a rule was broken. */
    long broken(Rule rule) {
        return violations.stream().filter(violation -> violation.rule() == rule).count();
    }

    /** Prints the counts, and the first violations of each rule. */
    void print(PrintStream out) {
        new TreeMap<>(counts).forEach((name, count) -> out.println(name + ": " + count));
        for (Rule rule : Rule.values()) {
            out.println("rule " + rule + " broken: " + broken(rule));
        }
        for (Rule rule : Rule.values()) {
            violations.stream()
                    .filter(violation -> violation.rule() == rule)
                    .limit(PRINTED_VIOLATIONS_OF_RULE)
                    .forEach(out::println);
        }
    }
}
