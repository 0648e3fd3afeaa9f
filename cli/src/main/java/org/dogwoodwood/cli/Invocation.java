package org.dogwoodwood.cli;

import java.io.InputStream;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import joptsimple.OptionSet;
import org.dogwoodwood.cli.http.SimpleHttpClient;
import org.dogwoodwood.cli.settings.ToolSettings;

/** One invocation of a command: its operands, options, settings and HTTP client. */
public final class Invocation {

    private static final int MAX_WAIT_SECONDS = 3_600;

    private final OptionSet options;
    private final List<String> operands;
    private final ProcessContext context;
    private final ToolSettings settings;
    private final SimpleHttpClient http;

    Invocation(
            OptionSet options,
            List<String> operands,
            ProcessContext context,
            ToolSettings settings,
            SimpleHttpClient http) {
        this.options = options;
        this.operands = List.copyOf(operands);
        this.context = context;
        this.settings = settings;
        this.http = http;
    }

    /**
     * Returns the operands if there are exactly as many as names.
     *
     * @param names the names of the operands, for error messages
     * @throws CommandException if there are more or fewer operands
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
     * Returns the operands if there are at least as many as names.
     *
     * @param names the names of the operands, for error messages; the last operand may be repeated
     * @throws CommandException if there are fewer operands
     */
    public List<String> variadicOperands(String... names) {
        return operands.size() > names.length ? operands : operands(names);
    }

    /** Returns a path, resolved against the working directory. */
    public Path resolve(String path) {
        return context.workingDirectory().resolve(path);
    }

    /** Returns standard input. */
    public InputStream standardInput() {
        return context.in();
    }

    /** Returns the only operand as a path, resolved against the working directory. */
    public Path directoryOperand() {
        return context.workingDirectory().resolve(operands("DIR").get(0));
    }

    /** Returns the value of an option of this command, or empty if it is not given. */
    public <T> Optional<T> option(String name, Class<T> type) {
        return options.has(name) ? Optional.of(type.cast(options.valueOf(name))) : Optional.empty();
    }

    /**
     * Returns the value of {@code --wait}, how long to wait for a change to be in force; zero if
     * the option is not given.
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

    /** Returns the settings of the tool. */
    public ToolSettings settings() {
        return settings;
    }

    /** Returns the HTTP client. */
    public SimpleHttpClient http() {
        return http;
    }
}
