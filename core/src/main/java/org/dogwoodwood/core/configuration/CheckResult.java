package org.dogwoodwood.core.configuration;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * The result of checking a configuration.
 *
 * @param objects the checked objects
 * @param problems all problems, sorted by location and message
 */
public record CheckResult(Configuration objects, List<ConfigurationProblem> problems) {

    /** Sorts and copies the problems. */
    public CheckResult {
        problems =
                problems.stream()
                        .sorted(
                                Comparator.comparing(ConfigurationProblem::location)
                                        .thenComparing(ConfigurationProblem::message))
                        .toList();
    }

    /** Returns the configuration, or empty if it has problems. */
    public Optional<Configuration> configuration() {
        return problems.isEmpty() ? Optional.of(objects) : Optional.empty();
    }
}
