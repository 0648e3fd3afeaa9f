package org.dogwoodwood.core.configuration;

import static org.dogwoodwood.core.ErrorCode.CONFIGURATION_SYNTAX;
import static org.dogwoodwood.core.ErrorCode.DUPLICATE_OBJECT;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Consumer;
import org.dogwoodwood.core.ErrorCode;

/** Checks the complete set of configuration objects and reports all problems at once. */
public final class ConfigurationChecker {

    private static final Set<ErrorCode> DEFINITION_HIDING_CODES =
            Set.of(CONFIGURATION_SYNTAX, DUPLICATE_OBJECT);

    private final NameSuggestions suggestions;

    private ConfigurationChecker(NameSuggestions suggestions) {
        this.suggestions = Objects.requireNonNull(suggestions, "suggestions");
    }

    /** Returns a checker whose remedies suggest no names. */
    public static ConfigurationChecker create() {
        return create(NameSuggestions.none());
    }

    /**
     * Returns a checker whose remedies suggest names.
     *
     * @param suggestions finds the name that the operator probably meant, not null
     */
    public static ConfigurationChecker create(NameSuggestions suggestions) {
        return new ConfigurationChecker(suggestions);
    }

    /** Returns all problems of a configuration that was not read from a file. */
    public List<ConfigurationProblem> check(Configuration configuration) {
        return check(ConfigurationDraft.from(configuration), List.of()).problems();
    }

    /**
     * Checks a draft.
     *
     * @param draft the objects; the default class and policy are added unless they are defined
     * @param earlier problems that were found while reading the objects, not null
     * @return the objects and all problems, earlier ones included
     */
    public CheckResult check(ConfigurationDraft draft, List<ConfigurationProblem> earlier) {
        ConfigurationDraft complete = draft.withDefaults();
        List<ConfigurationProblem> found = new ArrayList<>();
        checkDuplicates(complete, found::add);
        ValueRules.check(complete, found::add);
        ConsistencyRules.check(complete, found::add);
        AccountRules.check(complete, found::add);
        // Otherwise references to names defined in an unreadable part of a file would be reported.
        if (earlier.stream()
                .map(ConfigurationProblem::code)
                .noneMatch(DEFINITION_HIDING_CODES::contains)) {
            ReferenceRules.check(complete, suggestions, found::add);
        }
        List<ConfigurationProblem> problems = new ArrayList<>(earlier);
        found.stream().filter(problem -> !isConsequence(problem, earlier)).forEach(problems::add);
        return new CheckResult(complete.toConfiguration(), problems);
    }

    /**
     * Returns whether a problem has the same key as an earlier one: a value that could not be read
     * was replaced by a default, so that further problems of it are not meaningful.
     */
    private static boolean isConsequence(
            ConfigurationProblem problem, List<ConfigurationProblem> earlier) {
        return !problem.location().key().isEmpty()
                && earlier.stream().anyMatch(e -> e.location().equals(problem.location()));
    }

    private static void checkDuplicates(
            ConfigurationDraft draft, Consumer<ConfigurationProblem> problems) {
        Map<String, DraftObject<?>> first = new HashMap<>();
        draft.objects()
                .forEach(
                        object -> {
                            DraftObject<?> earlier =
                                    first.putIfAbsent(object.qualifiedName(), object);
                            if (earlier != null) {
                                problems.accept(duplicate(object, earlier));
                            }
                        });
    }

    private static ConfigurationProblem duplicate(DraftObject<?> object, DraftObject<?> earlier) {
        return new ConfigurationProblem(
                DUPLICATE_OBJECT,
                object.locationOf(""),
                object.qualifiedName() + " is defined more than once.",
                "Keep one definition; the other is at "
                        + ProblemLocation.ofLine(
                                earlier.location().file(), earlier.location().line())
                        + ".");
    }
}
