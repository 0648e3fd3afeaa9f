package org.dogwoodwood.cli.command;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import joptsimple.OptionParser;
import org.dogwoodwood.cli.Command;
import org.dogwoodwood.cli.CommandException;
import org.dogwoodwood.cli.CommandResult;
import org.dogwoodwood.cli.ExitStatus;
import org.dogwoodwood.cli.Invocation;
import org.dogwoodwood.cli.log.ConfigurationHistory;
import org.dogwoodwood.cli.log.ConfigurationLog;
import org.dogwoodwood.codec.configuration.ConfigurationWriter;
import org.dogwoodwood.core.configuration.Configuration;
import org.dogwoodwood.core.configuration.ConfigurationKey;
import org.dogwoodwood.core.configuration.ConfigurationObject;
import org.dogwoodwood.core.configuration.ObjectKind;

/** Prints a published configuration. */
public final class ShowCommand implements Command {

    private ShowCommand() {}

    /** Returns the command. */
    public static ShowCommand create() {
        return new ShowCommand();
    }

    @Override
    public String name() {
        return "show";
    }

    @Override
    public String operands() {
        return "";
    }

    @Override
    public String summary() {
        return "Print the configuration in force as TOML.";
    }

    @Override
    public void declareOptions(OptionParser parser) {
        parser.accepts("version", "print this version instead, if the log still holds it")
                .withRequiredArg()
                .ofType(Long.class)
                .describedAs("VERSION");
    }

    @Override
    public CommandResult run(Invocation invocation) {
        invocation.operands();
        ConfigurationHistory history =
                ConfigurationLog.open(invocation.http(), invocation.settings()).history();
        Configuration configuration =
                invocation
                        .option("version", Long.class)
                        .map(version -> requireVersion(history, version))
                        .orElseGet(history::inForce);
        String header = "# version " + configuration.version();
        return new CommandResult(
                ExitStatus.OK,
                List.of(header, ConfigurationWriter.write(configuration).stripTrailing()),
                toJson(configuration));
    }

    private static Configuration requireVersion(ConfigurationHistory history, long version) {
        return history.version(version)
                .orElseThrow(
                        () ->
                                CommandException.usage(
                                        "The log holds no version " + version + ".",
                                        "Run 'dogwoodwood history' to see the versions."));
    }

    private static ObjectNode toJson(Configuration configuration) {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("version", configuration.version());
        for (ObjectKind kind : ObjectKind.values()) {
            ObjectNode objects = json.putObject(kind.label());
            configuration
                    .objectsOf(kind)
                    .forEach((name, object) -> addValues(objects.putObject(name), object));
        }
        return json;
    }

    private static void addValues(ObjectNode json, ConfigurationObject object) {
        for (ConfigurationKey key : object.kind().keys()) {
            json.putPOJO(key.label(), key.valueOf(object));
        }
    }
}
