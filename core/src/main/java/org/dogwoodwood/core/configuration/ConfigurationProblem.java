package org.dogwoodwood.core.configuration;

import java.util.Objects;
import org.dogwoodwood.core.ErrorCode;

/**
 * A problem because of which a configuration cannot be published.
 *
 * @param code the error code
 * @param location the part of the configuration that it concerns
 * @param message what is wrong
 * @param remedy what to change
 */
public record ConfigurationProblem(
        ErrorCode code, ProblemLocation location, String message, String remedy) {

    /** Checks that the references are present. */
    public ConfigurationProblem {
        Objects.requireNonNull(code, "code");
        Objects.requireNonNull(location, "location");
    }

    /** Returns a problem with the general remedy of its error code. */
    public static ConfigurationProblem of(
            ErrorCode code, ProblemLocation location, String message) {
        return new ConfigurationProblem(code, location, message, code.remedy());
    }

    @Override
    public String toString() {
        String place = location.toString();
        return (place.isEmpty() ? "" : place + ": ") + code.number() + " " + message + " " + remedy;
    }
}
