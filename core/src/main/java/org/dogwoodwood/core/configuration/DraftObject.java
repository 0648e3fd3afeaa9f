package org.dogwoodwood.core.configuration;

/**
 * An object that has not been checked yet, with its source location.
 *
 * @param <T> the kind of object
 * @param definition the object
 * @param location its source location
 */
public record DraftObject<T extends ConfigurationObject>(T definition, SourceLocation location) {

    /** Returns the name of the object in messages, for example {@code service.outings}. */
    public String qualifiedName() {
        return definition.kind().qualify(definition.name());
    }

    /** Returns the location of a key, or of the object if the key is empty. */
    public ProblemLocation locationOf(String key) {
        return new ProblemLocation(location.file(), location.lineOf(key), qualifiedName(), key);
    }
}
