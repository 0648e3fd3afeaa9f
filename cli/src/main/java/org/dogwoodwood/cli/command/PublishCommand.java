package org.dogwoodwood.cli.command;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import joptsimple.OptionParser;
import org.dogwoodwood.cli.Command;
import org.dogwoodwood.cli.CommandException;
import org.dogwoodwood.cli.CommandResult;
import org.dogwoodwood.cli.ExitStatus;
import org.dogwoodwood.cli.Invocation;
import org.dogwoodwood.cli.log.ConfigurationHistory;
import org.dogwoodwood.cli.log.ConfigurationLog;
import org.dogwoodwood.cli.node.Cluster;
import org.dogwoodwood.codec.configuration.ConfigurationReader;
import org.dogwoodwood.core.configuration.CheckResult;
import org.dogwoodwood.core.configuration.Configuration;
import org.dogwoodwood.core.configuration.ConfigurationChange;
import org.dogwoodwood.core.configuration.PublicationOutcome;

/** Publishes the configuration of a directory. */
public final class PublishCommand implements Command {

    private static final int DEFAULT_TIMEOUT_SECONDS = 15;
    private static final int MAX_TIMEOUT_SECONDS = 3_600;
    private static final String ID_PATTERN = "[A-Za-z0-9._-]{1,100}";

    private PublishCommand() {}

    /** Returns the command. */
    public static PublishCommand create() {
        return new PublishCommand();
    }

    @Override
    public String name() {
        return "publish";
    }

    @Override
    public String operands() {
        return "DIR";
    }

    @Override
    public String summary() {
        return "Check the configuration in DIR and publish it as the next version.";
    }

    @Override
    public void declareOptions(OptionParser parser) {
        parser.accepts("base", "the version that DIR was edited from")
                .withRequiredArg()
                .ofType(Long.class)
                .describedAs("VERSION");
        parser.accepts("wait", "wait until the version is in force on all nodes")
                .withRequiredArg()
                .ofType(Integer.class)
                .describedAs("SECONDS");
        parser.accepts("timeout", "how long to try while the log does not answer (default: 15)")
                .withRequiredArg()
                .ofType(Integer.class)
                .describedAs("SECONDS");
        parser.accepts("publication-id", "find out about, or repeat, an earlier publication")
                .withRequiredArg()
                .describedAs("ID");
    }

    @Override
    public CommandResult run(Invocation invocation) {
        Path directory = invocation.directoryOperand();
        Duration timeout = timeout(invocation);
        if (invocation.waitOption().toSeconds() > 0) {
            invocation.settings().requireNodes();
        }
        CheckResult result = ConfigurationReader.create().read(directory);
        if (result.configuration().isEmpty()) {
            return ProblemReport.of(result.problems());
        }
        Configuration proposed = result.configuration().get();
        ConfigurationLog log = ConfigurationLog.open(invocation.http(), invocation.settings());
        Optional<String> repeatedId = publicationIdOption(invocation);
        Optional<PublicationOutcome> earlier = repeatedId.flatMap(log.history()::outcome);
        if (earlier.isPresent()) {
            return reportOutcome(invocation, directory, proposed, log.history(), earlier.get());
        }
        Configuration inForce = log.history().inForce();
        if (inForce.version() > 0 && ConfigurationChange.between(inForce, proposed).isEmpty()) {
            return reportAlreadyInForce(invocation, directory, log.history());
        }
        long base = baseVersion(invocation, directory, log.history());
        if (base != inForce.version()) {
            return ConflictReport.outdatedBase(log.history(), base, proposed);
        }
        String id = repeatedId.orElseGet(() -> UUID.randomUUID().toString());
        PublicationOutcome outcome = log.publish(proposed, base, id, timeout);
        return reportOutcome(invocation, directory, proposed, log.history(), outcome);
    }

    private static Duration timeout(Invocation invocation) {
        int seconds = invocation.option("timeout", Integer.class).orElse(DEFAULT_TIMEOUT_SECONDS);
        if (seconds < 1 || seconds > MAX_TIMEOUT_SECONDS) {
            throw CommandException.usage(
                    "--timeout " + seconds + " is out of range.",
                    "Give from 1 to " + MAX_TIMEOUT_SECONDS + " seconds.");
        }
        return Duration.ofSeconds(seconds);
    }

    private static Optional<String> publicationIdOption(Invocation invocation) {
        Optional<String> id = invocation.option("publication-id", String.class);
        if (id.isPresent() && !id.get().matches(ID_PATTERN)) {
            throw CommandException.usage(
                    "'" + id.get() + "' is not a publication id.",
                    "Use the id that an earlier run printed.");
        }
        return id;
    }

    private static long baseVersion(
            Invocation invocation, Path directory, ConfigurationHistory history) {
        long inForce = history.inForce().version();
        Optional<Long> given = invocation.option("base", Long.class);
        if (given.isPresent()) {
            requireExistingVersion(given.get(), inForce);
            return given.get();
        }
        Optional<PublishedBase> recorded = PublishedBase.read(directory);
        if (recorded.isEmpty()) {
            return inForce;
        }
        PublishedBase base = recorded.get();
        boolean otherLog =
                base.version() > inForce
                        || (base.version() == inForce
                                && !base.publicationId().equals(history.inForcePublicationId()));
        if (otherLog) {
            throw CommandException.usage(
                    directory + " was last published to another platform log.",
                    "Check --log, or give --base " + inForce + " to publish it here.");
        }
        return base.version();
    }

    private static void requireExistingVersion(long base, long inForce) {
        if (base < 0 || base > inForce) {
            throw CommandException.usage(
                    "There is no version " + base + "; version " + inForce + " is in force.",
                    "Give the version that the files were edited from.");
        }
    }

    private static CommandResult reportAlreadyInForce(
            Invocation invocation, Path directory, ConfigurationHistory history) {
        long version = history.inForce().version();
        List<String> lines = new ArrayList<>();
        lines.add("Version " + version + " already holds this configuration.");
        new PublishedBase(version, history.inForcePublicationId())
                .write(directory)
                .ifPresent(lines::add);
        ObjectNode json =
                JsonNodeFactory.instance
                        .objectNode()
                        .put("published", false)
                        .put("version", version);
        return awaitInForce(invocation, version, lines, json);
    }

    private static CommandResult reportOutcome(
            Invocation invocation,
            Path directory,
            Configuration proposed,
            ConfigurationHistory history,
            PublicationOutcome outcome) {
        if (!outcome.accepted()) {
            return ConflictReport.rejected(history, outcome, proposed);
        }
        long version = outcome.version();
        Configuration before = history.version(version - 1).orElse(Configuration.empty());
        List<ConfigurationChange> changes = ConfigurationChange.between(before, proposed);
        List<String> lines = new ArrayList<>();
        lines.add("Published as version " + version + ":");
        lines.addAll(ChangeReport.lines(changes));
        new PublishedBase(version, outcome.publicationId()).write(directory).ifPresent(lines::add);
        ObjectNode json =
                JsonNodeFactory.instance
                        .objectNode()
                        .put("published", true)
                        .put("version", version)
                        .put("publication_id", outcome.publicationId());
        ChangeReport.addTo(json, "changes", changes);
        return awaitInForce(invocation, version, lines, json);
    }

    private static CommandResult awaitInForce(
            Invocation invocation, long version, List<String> lines, ObjectNode json) {
        if (invocation.waitOption().isZero()) {
            return new CommandResult(ExitStatus.OK, lines, json);
        }
        Cluster cluster = Cluster.of(invocation.http(), invocation.settings());
        long start = System.nanoTime();
        List<Cluster.UnmetCondition> unmetConditions =
                cluster.await(
                        invocation.waitOption(),
                        status ->
                                status.version() >= version
                                        ? Optional.empty()
                                        : Optional.of("It has version " + status.version() + "."));
        return WaitReport.of(
                cluster.snapshot(), unmetConditions, System.nanoTime() - start, lines, json);
    }
}
