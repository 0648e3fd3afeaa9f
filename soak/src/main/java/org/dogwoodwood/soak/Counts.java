package org.dogwoodwood.soak;

import java.util.Map;
import java.util.TreeMap;

/** Counts what happened, by its name. */
final class Counts {

    private final Map<String, Integer> counts = new TreeMap<>();

    synchronized void add(String name) {
        counts.merge(name, 1, Integer::sum);
    }

    synchronized int of(String name) {
        return counts.getOrDefault(name, 0);
    }

    /** Returns a copy, sorted by name. */
    synchronized Map<String, Integer> all() {
        return new TreeMap<>(counts);
    }
}
