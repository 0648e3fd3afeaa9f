package org.dogwoodwood.cli;

import java.io.InputStream;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import joptsimple.OptionSet;
import org.dogwoodwood.cli.http.HttpCaller;
import org.dogwoodwood.cli.settings.ToolSettings;

/** One run of a command: its operands, options, settings and means of communication. */
public final class Invocation {

    private static final int MAX_WAIT_SECONDS = 3_600;

    private final OptionSet options;
    private final List<String> operands;
    private final Surroundings surroundings;
    private final ToolSettings settings;
    private final HttpCaller http;

    Invocation(
            OptionSet options,
            List<String> operands,
            Surroundings surroundings,
            ToolSettings settings,
            HttpCaller http) {
        this.options = options;
        this.operands = List.copyOf(operands);
        this.surroundings = surroundings;
        this.settings = settings;
        this.http = http;
    }

    /**
     * Returns the operands after checking their number.
     *
     * @param names the names of the operands, for the message
     * @throws CommandException if there are more or fewer
     */
    public List<String> operands(String... names) {
        if (operands.size() < names.length) {
            throw CommandException.usage(
                    names[operands.size()] + " is missing.",
                    "Give " + String.join(" and ", names) + "; see --help.");
        }
        if (operands.size() > names.length) {
            throw CommandException.usage(
                    "'" + operands.get(names.length) + "' is one operand too many.",
                    "Remove it; see --help.");
        }
        return operands;
    }

    /**
     * Returns the operands after checking that there are at least as many as names.
     *
     * @param names the names of the operands, for the message; the last one may be repeated
     * @throws CommandException if there are fewer
     */
    public List<String> operandsFrom(String... names) {
        return operands.size() > names.length ? operands : operands(names);
    }

    /** Returns a path, resolved against the working directory. */
    public Path resolve(String path) {
        return surroundings.directory().resolve(path);
    }

    /** Returns standard input. */
    public InputStream input() {
        return surroundings.in();
    }

    /** Returns the only operand as a path, resolved against the working directory. */
    public Path directoryOperand() {
        return surroundings.directory().resolve(operands("DIR").get(0));
    }

    /** Returns the value of an option of this command, or empty if it is not given. */
    public <T> Optional<T> option(String name, Class<T> type) {
        return options.has(name) ? Optional.of(type.cast(options.valueOf(name))) : Optional.empty();
    }

    /**
     * Returns how long the command waits until a change is in force; zero if it does not wait.
     *
     * @throws CommandException if the value is negative or above an hour
     */
    public Duration waitOption() {
        int seconds = option("wait", Integer.class).orElse(0);
        if (seconds < 0 || seconds > MAX_WAIT_SECONDS) {
            throw CommandException.usage(
                    "--wait " + seconds + " is out of range.",
                    "Give from 0 to " + MAX_WAIT_SECONDS + " seconds.");
        }
        return Duration.ofSeconds(seconds);
    }

    /** Returns the addresses that the tool uses. */
    public ToolSettings settings() {
        return settings;
    }

    /** Returns the HTTP client. */
    public HttpCaller http() {
        return http;
    }
}
