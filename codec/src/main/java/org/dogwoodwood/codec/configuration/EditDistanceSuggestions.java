package org.dogwoodwood.codec.configuration;

import java.util.Collection;
import java.util.Comparator;
import java.util.Locale;
import java.util.Optional;
import org.apache.commons.text.similarity.LevenshteinDistance;
import org.dogwoodwood.core.configuration.NameSuggestions;

/** Suggests the known name with the smallest Levenshtein distance. */
public final class EditDistanceSuggestions implements NameSuggestions {

    /** The largest edit distance of a suggested name, as a fraction of its length. */
    private static final double MAX_DIFFERENCE = 0.4;

    private EditDistanceSuggestions() {}

    public static EditDistanceSuggestions create() {
        return new EditDistanceSuggestions();
    }

    @Override
    public Optional<String> closest(String misspelt, Collection<String> known) {
        return known.stream()
                .filter(name -> distance(misspelt, name) <= MAX_DIFFERENCE * name.length())
                .min(
                        Comparator.<String>comparingInt(name -> distance(misspelt, name))
                                .thenComparing(Comparator.naturalOrder()));
    }

    private static int distance(String misspelt, String name) {
        String normalized = misspelt.toLowerCase(Locale.ROOT).replace('-', '_');
        return LevenshteinDistance.getDefaultInstance()
                .apply(normalized, name.toLowerCase(Locale.ROOT).replace('-', '_'));
    }
}
