package org.dogwoodwood.core.configuration;

import java.util.Collection;
import java.util.Optional;

/** Finds the name that an operator probably meant. */
@FunctionalInterface
public interface NameSuggestions {

    /** Returns the known name that is closest to a misspelt one, or empty if none is similar. */
    Optional<String> closest(String misspelt, Collection<String> known);

    /** Returns an instance that never suggests a name. */
    static NameSuggestions none() {
        return (misspelt, known) -> Optional.empty();
    }
}
