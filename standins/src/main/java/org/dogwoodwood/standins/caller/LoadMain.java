package org.dogwoodwood.standins.caller;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.dogwoodwood.standins.support.Address;

/**
 * Runs the load tool. With {@code --node} it sends calls; with {@code --target} it reports the
 * executions of stand-in targets. It prints one JSON object and exits with 1 if a call was lost or
 * answered wrongly, or if a call with an idempotency key ran twice.
 */
public final class LoadMain {

    private static final int FAILED_STATUS = 1;
    private static final int USAGE_STATUS = 2;

    private final OptionParser parser = new OptionParser(false);
    private final OptionSpec<Void> help = parser.accepts("help", "show this help").forHelp();
    private final OptionSpec<Address> nodes =
            parser.accepts("node", "caller address of a node; may be repeated")
                    .withRequiredArg()
                    .withValuesSeparatedBy(',')
                    .ofType(Address.class);
    private final OptionSpec<Address> targets =
            parser.accepts("target", "address of a stand-in target; may be repeated")
                    .withRequiredArg()
                    .withValuesSeparatedBy(',')
                    .ofType(Address.class);
    private final OptionSpec<String> services =
            parser.accepts("service", "service to call; may be repeated")
                    .withRequiredArg()
                    .withValuesSeparatedBy(',')
                    .defaultsTo("outings");
    private final OptionSpec<String> callClass =
            parser.accepts("class", "class of the calls").withRequiredArg().defaultsTo("default");
    private final OptionSpec<Integer> rate =
            integerOption("rate", "calls per second", LoadOptions.DEFAULT_CALLS_PER_SECOND);
    private final OptionSpec<Integer> seconds =
            integerOption("seconds", "how long to start calls", LoadOptions.DEFAULT_SECONDS);
    private final OptionSpec<Double> nonIdempotentShare =
            parser.accepts("non-idempotent", "share of non-idempotent calls")
                    .withRequiredArg()
                    .ofType(Double.class)
                    .defaultsTo(LoadOptions.DEFAULT_NON_IDEMPOTENT_SHARE);
    private final OptionSpec<Integer> minAnswerBytes =
            integerOption("bytes", "minimum response size", LoadOptions.DEFAULT_MIN_ANSWER_BYTES);
    private final OptionSpec<Integer> timeout =
            integerOption(
                    "timeout-ms",
                    "timeout of a call including retries",
                    LoadOptions.DEFAULT_TIMEOUT_MILLIS);
    private final OptionSpec<Integer> maxRetries =
            integerOption(
                    "repetitions", "maximum retries of a call", LoadOptions.DEFAULT_MAX_RETRIES);
    private final OptionSpec<Long> seed =
            longOption("seed", "seed for the choice of HTTP methods", 1);
    private final OptionSpec<String> stopFile =
            parser.accepts("stop-file", "start no more calls once this file exists")
                    .withRequiredArg();
    private final OptionSpec<Long> from = longOption("from-ms", "start of the counted window", 0);
    private final OptionSpec<Long> to =
            longOption("to-ms", "end of the counted window", Long.MAX_VALUE);

    private LoadMain() {}

    /** Runs the command line. */
    public static void main(String[] arguments) throws IOException {
        LoadMain program = new LoadMain();
        Vertx vertx = Vertx.vertx();
        try {
            OptionSet given = program.parser.parse(arguments);
            if (given.has(program.help) || given.has(program.nodes) == given.has(program.targets)) {
                program.parser.printHelpOn(System.out);
                vertx.close();
                System.exit(given.has(program.help) ? 0 : USAGE_STATUS);
                return;
            }
            program.run(vertx, given)
                    .onSuccess(LoadMain::printAndExit)
                    .onFailure(
                            failure -> exitWithError("The load failed: " + failure.getMessage()));
        } catch (OptionException | IllegalArgumentException e) {
            System.err.println(e.getMessage() + ". Run with --help.");
            System.exit(USAGE_STATUS);
        }
    }

    private Future<JsonObject> run(Vertx vertx, OptionSet given) {
        if (given.has(targets)) {
            return ExecutionReport.of(
                            vertx, given.valuesOf(targets), given.valueOf(from), given.valueOf(to))
                    .map(ExecutionReport.Summary::toJson);
        }
        System.err.println("sending");
        return LoadGenerator.run(vertx, options(given)).map(LoadResult::toJson);
    }

    private LoadOptions options(OptionSet given) {
        List<Address> addresses = given.valuesOf(nodes);
        return new LoadOptions(
                addresses,
                given.valuesOf(services),
                given.valueOf(callClass),
                given.valueOf(rate),
                given.valueOf(seconds),
                given.valueOf(nonIdempotentShare),
                given.valueOf(minAnswerBytes),
                given.valueOf(timeout),
                given.valueOf(maxRetries),
                given.valueOf(seed),
                Optional.ofNullable(given.valueOf(stopFile)).map(Path::of));
    }

    private static void printAndExit(JsonObject result) {
        System.out.println(result.encodePrettily());
        boolean failed =
                result.getInteger("lost", 0) > 0
                        || result.getInteger("wrong", 0) > 0
                        || result.getInteger("run_twice", 0) > 0;
        System.exit(failed ? FAILED_STATUS : 0);
    }

    private static void exitWithError(String message) {
        System.err.println(message);
        System.exit(FAILED_STATUS);
    }

    private OptionSpec<Integer> integerOption(String name, String description, int defaultValue) {
        return parser.accepts(name, description)
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(defaultValue);
    }

    private OptionSpec<Long> longOption(String name, String description, long defaultValue) {
        return parser.accepts(name, description)
                .withRequiredArg()
                .ofType(Long.class)
                .defaultsTo(defaultValue);
    }
}
