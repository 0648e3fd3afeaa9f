package org.dogwoodwood.core.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * One difference between two configurations.
 *
 * @param type whether the object was added, removed or changed
 * @param object the object, for example {@code service.outings}
 * @param key the key that changed, empty if the whole object was added or removed
 * @param before the value before, empty if the whole object was added or removed
 * @param after the value after, empty if the whole object was added or removed
 */
public record ConfigurationChange(
        Type type, String object, String key, String before, String after) {

    /** The kind of difference, with the symbol that precedes it in a listing. */
    public enum Type {
        ADDED("+"),
        REMOVED("-"),
        CHANGED("~");

        private final String symbol;

        Type(String symbol) {
            this.symbol = symbol;
        }

        /** Returns the symbol. */
        public String symbol() {
            return symbol;
        }
    }

    /** Returns all differences, sorted by kind, name and key; versions are not compared. */
    public static List<ConfigurationChange> between(Configuration before, Configuration after) {
        List<ConfigurationChange> changes = new ArrayList<>();
        for (ObjectKind kind : ObjectKind.values()) {
            compare(kind, before.objectsOf(kind), after.objectsOf(kind), changes);
        }
        return List.copyOf(changes);
    }

    private static void compare(
            ObjectKind kind,
            Map<String, ? extends ConfigurationObject> before,
            Map<String, ? extends ConfigurationObject> after,
            List<ConfigurationChange> changes) {
        TreeSet<String> names = new TreeSet<>(before.keySet());
        names.addAll(after.keySet());
        for (String name : names) {
            ConfigurationObject old = before.get(name);
            ConfigurationObject current = after.get(name);
            if (old == null) {
                changes.add(ofObject(Type.ADDED, kind.qualify(name)));
            } else if (current == null) {
                changes.add(ofObject(Type.REMOVED, kind.qualify(name)));
            } else {
                compareKeys(kind, old, current, changes);
            }
        }
    }

    private static void compareKeys(
            ObjectKind kind,
            ConfigurationObject before,
            ConfigurationObject after,
            List<ConfigurationChange> changes) {
        for (ConfigurationKey key : kind.keys()) {
            Object old = key.valueOf(before);
            Object current = key.valueOf(after);
            if (!old.equals(current)) {
                changes.add(
                        new ConfigurationChange(
                                Type.CHANGED,
                                kind.qualify(before.name()),
                                key.label(),
                                old.toString(),
                                current.toString()));
            }
        }
    }

    private static ConfigurationChange ofObject(Type type, String object) {
        return new ConfigurationChange(type, object, "", "", "");
    }

    @Override
    public String toString() {
        String prefix = type.symbol() + " " + object;
        return key.isEmpty() ? prefix : prefix + "." + key + ": " + before + " -> " + after;
    }
}
