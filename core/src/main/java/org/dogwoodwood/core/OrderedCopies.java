package org.dogwoodwood.core;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * Immutable copies that keep the order of the original. {@link Map#copyOf} and {@link Set#copyOf}
 * order their elements differently in each process, so that one seed would give several runs.
 */
public final class OrderedCopies {

    private OrderedCopies() {}

    /**
     * Returns an immutable copy of a map in the order of the map.
     *
     * @throws NullPointerException if the map, a key or a value is null
     */
    public static <K, V> Map<K, V> copyOf(Map<? extends K, ? extends V> map) {
        Map<K, V> copy = new LinkedHashMap<>();
        map.forEach(
                (key, value) ->
                        copy.put(
                                Objects.requireNonNull(key, "key"),
                                Objects.requireNonNull(value, "value")));
        return Collections.unmodifiableMap(copy);
    }

    /**
     * Returns an immutable copy of a set in the order of the set.
     *
     * @throws NullPointerException if the set or an element is null
     */
    public static <T> Set<T> copyOf(Set<? extends T> set) {
        Set<T> copy = new LinkedHashSet<>();
        set.forEach(element -> copy.add(Objects.requireNonNull(element, "element")));
        return Collections.unmodifiableSet(copy);
    }
}
