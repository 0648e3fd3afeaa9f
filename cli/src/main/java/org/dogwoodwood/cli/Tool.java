package org.dogwoodwood.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.dogwoodwood.cli.http.SimpleHttpClient;
import org.dogwoodwood.cli.settings.ToolSettings;
import org.dogwoodwood.cli.settings.ToolSettingsReader;
import org.dogwoodwood.codec.configuration.EditDistanceSuggestions;
import org.dogwoodwood.core.DogwoodwoodException;
import org.dogwoodwood.core.ErrorCode;

/** Runs one command line of the tool. */
public final class Tool {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final List<Command> commands;
    private final ProcessContext context;

    private Tool(List<Command> commands, ProcessContext context) {
        this.commands = List.copyOf(commands);
        this.context = context;
    }

    /**
     * Returns a tool.
     *
     * @param commands its subcommands, not null
     * @param context the context of the process, not null
     */
    public static Tool create(List<Command> commands, ProcessContext context) {
        return new Tool(commands, context);
    }

    /** Runs a command line, prints its result or error and returns the exit code. */
    public ExitStatus run(String... arguments) {
        boolean json = Arrays.asList(arguments).contains("--json");
        try {
            CommandResult result = execute(arguments);
            print(result, json);
            return result.status();
        } catch (CommandException e) {
            return reportError(e.status(), e, e.detail(), e.remedy(), json);
        } catch (IllegalStateException e) {
            return reportError(
                    ExitStatus.INTERNAL,
                    new DogwoodwoodException(ErrorCode.TOOL_DEFECT, e.getMessage(), e),
                    e.getMessage(),
                    ErrorCode.TOOL_DEFECT.remedy(),
                    json);
        } catch (DogwoodwoodException e) {
            String prefix = e.code().number() + " ";
            String detail =
                    e.getMessage().substring(prefix.length()).replace(" " + e.code().remedy(), "");
            return reportError(ExitStatus.USAGE, e, detail, e.code().remedy(), json);
        }
    }

    private CommandResult execute(String... arguments) {
        if (arguments.length == 0 || List.of("--help", "-h", "help").contains(arguments[0])) {
            return Help.general(commands);
        }
        Command command = findCommand(arguments[0]);
        OptionParser parser = commonOptions();
        command.declareOptions(parser);
        OptionSet options;
        try {
            options = parser.parse(Arrays.copyOfRange(arguments, 1, arguments.length));
            requireValidValues(options);
        } catch (OptionException e) {
            throw CommandException.usage(
                    e.getMessage() + ".", "Run 'dogwoodwood " + command.name() + " --help'.");
        }
        if (options.has("help")) {
            return Help.of(command, parser);
        }
        List<String> operands = options.nonOptionArguments().stream().map(String::valueOf).toList();
        try (SimpleHttpClient http = SimpleHttpClient.create()) {
            return command.run(
                    new Invocation(options, operands, context, readSettings(options), http));
        }
    }

    /**
     * Converts all option values eagerly; otherwise the parser would report an invalid value only
     * when a command reads it.
     */
    private static void requireValidValues(OptionSet options) {
        for (OptionSpec<?> option : options.specs()) {
            boolean repeatable = option.options().contains("node");
            if (!repeatable) {
                options.valueOf(option);
            }
        }
    }

    private Command findCommand(String name) {
        List<String> names = commands.stream().map(Command::name).toList();
        return commands.stream()
                .filter(command -> command.name().equals(name))
                .findFirst()
                .orElseThrow(
                        () ->
                                CommandException.usage(
                                        "'" + name + "' is not a command.",
                                        EditDistanceSuggestions.create()
                                                .closest(name, names)
                                                .map(known -> "Did you mean '" + known + "'?")
                                                .orElse("Run 'dogwoodwood --help'.")));
    }

    private static OptionParser commonOptions() {
        OptionParser parser = new OptionParser(false);
        parser.accepts("help", "show this help");
        parser.accepts("json", "print JSON for machines");
        parser.accepts("log", "address of the platform log").withRequiredArg().describedAs("ADDR");
        parser.accepts("node", "admin address of a node; may be repeated")
                .withRequiredArg()
                .describedAs("ADDR");
        parser.accepts("settings", "settings file of the tool (default: dogwoodwood.toml)")
                .withRequiredArg()
                .describedAs("FILE");
        return parser;
    }

    private ToolSettings readSettings(OptionSet options) {
        Optional<Path> givenFile =
                Optional.ofNullable((String) options.valueOf("settings"))
                        .map(context.workingDirectory()::resolve);
        Optional<Path> defaultFile =
                Optional.of(context.workingDirectory().resolve(ToolSettingsReader.DEFAULT_FILE))
                        .filter(Files::exists);
        List<String> nodes = options.valuesOf("node").stream().map(String::valueOf).toList();
        return ToolSettingsReader.read(
                Optional.ofNullable((String) options.valueOf("log")),
                nodes,
                context.environment(),
                givenFile.or(() -> defaultFile));
    }

    private void print(CommandResult result, boolean json) {
        if (json) {
            context.out().println(prettyPrint(result.json()));
        } else {
            result.lines().forEach(context.out()::println);
        }
        context.out().flush();
    }

    private ExitStatus reportError(
            ExitStatus status,
            DogwoodwoodException failure,
            String detail,
            String remedy,
            boolean json) {
        if (json) {
            ObjectNode error = JsonNodeFactory.instance.objectNode();
            error.putObject("error")
                    .put("code", failure.code().number())
                    .put("kind", failure.code().name())
                    .put("message", detail)
                    .put("remedy", remedy);
            error.put("exit", status.code());
            context.out().println(prettyPrint(error));
        } else {
            context.err().println("error " + failure.code().number() + ": " + detail);
            context.err().println("  " + remedy);
        }
        return status;
    }

    private static String prettyPrint(JsonNode json) {
        try {
            return MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(json);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("A result must have a JSON form.", e);
        }
    }
}
