package org.dogwoodwood.node.settings;

import java.util.List;
import java.util.stream.Collectors;
import org.dogwoodwood.core.DogwoodwoodException;
import org.dogwoodwood.core.ErrorCode;

/** Thrown when a settings file is invalid; contains all problems that were found. */
public final class SettingsException extends DogwoodwoodException {

    private static final long serialVersionUID = 1L;

    private final transient List<SettingsProblem> problems;

    /**
     * Creates an exception.
     *
     * @param problems the problems, at least one
     */
    public SettingsException(List<SettingsProblem> problems) {
        super(
                ErrorCode.SETTINGS_INVALID,
                problems.stream().map(SettingsProblem::toString).collect(Collectors.joining(" ")));
        this.problems = List.copyOf(problems);
    }

    /** Returns the problems, in the order of the keys. */
    public List<SettingsProblem> problems() {
        return problems;
    }
}
