package org.dogwoodwood.core.configuration;

/**
 * A class or client account of callers.
 *
 * @param name the name
 * @param weight the weight for sharing a busy target with other classes, from 1 to 1000
 * @param maxShare the maximum share of a target's limit that the class may use, above 0 up to 1
 */
public record CallClassDefinition(String name, int weight, double maxShare)
        implements ConfigurationObject {

    public static final int DEFAULT_WEIGHT = 1;
    public static final double DEFAULT_MAX_SHARE = 1.0;

    /** Returns a class with the given name and all defaults. */
    public static CallClassDefinition withDefaults(String name) {
        return new CallClassDefinition(name, DEFAULT_WEIGHT, DEFAULT_MAX_SHARE);
    }
}
