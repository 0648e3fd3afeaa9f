package org.dogwoodwood.standins.target;

import io.vertx.core.Vertx;
import java.util.Optional;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.dogwoodwood.standins.support.Address;

/** Runs the stand-in target until the process ends. */
public final class StandinTargetMain {

    private static final int USAGE_STATUS = 2;

    private final OptionParser parser = new OptionParser(false);
    private final OptionSpec<Void> help = parser.accepts("help", "show this help").forHelp();
    private final OptionSpec<String> service =
            parser.accepts("service", "service that the target runs").withRequiredArg().required();
    private final OptionSpec<Address> admin =
            parser.accepts("admin", "admin address of the node on the same VM")
                    .withRequiredArg()
                    .ofType(Address.class);
    private final OptionSpec<Integer> port = integerOption("port", "port; 0 for a free one", 0);
    private final OptionSpec<Integer> slots =
            integerOption(
                    "slots", "maximum concurrent calls when warm", TargetOptions.DEFAULT_SLOTS);
    private final OptionSpec<Integer> coldSlots =
            integerOption(
                    "cold-slots",
                    "concurrent calls without collapse when cold",
                    TargetOptions.DEFAULT_COLD_SLOTS);
    private final OptionSpec<Integer> connections =
            integerOption("connections", "connections", TargetOptions.DEFAULT_CONNECTIONS);
    private final OptionSpec<Integer> serviceTime =
            integerOption(
                    "service-time-ms",
                    "duration of a call when warm, in milliseconds",
                    TargetOptions.DEFAULT_SERVICE_TIME_MILLIS);
    private final OptionSpec<Integer> coldCalls =
            integerOption("cold-calls", "calls until the target is warm; 0 to start warm", 0);
    private final OptionSpec<Integer> restart =
            integerOption(
                    "restart-ms",
                    "downtime after a crash in milliseconds; 0 to end the process",
                    TargetOptions.DEFAULT_RESTART_MILLIS);

    private StandinTargetMain() {}

    /** Starts the target and prints the address that it listens on. */
    public static void main(String[] arguments) throws java.io.IOException {
        StandinTargetMain program = new StandinTargetMain();
        TargetOptions options;
        try {
            OptionSet given = program.parser.parse(arguments);
            if (given.has(program.help)) {
                program.parser.printHelpOn(System.out);
                return;
            }
            options = program.options(given);
        } catch (OptionException e) {
            System.err.println(e.getMessage() + ". Run with --help.");
            System.exit(USAGE_STATUS);
            return;
        }
        StandinTarget.start(Vertx.vertx(), options)
                .onSuccess(target -> System.out.println("listening on 127.0.0.1:" + target.port()))
                .onFailure(StandinTargetMain::exitAfterFailure);
    }

    private TargetOptions options(OptionSet given) {
        return new TargetOptions(
                given.valueOf(service),
                given.valueOf(port),
                Optional.ofNullable(given.valueOf(admin)),
                given.valueOf(slots),
                given.valueOf(coldSlots),
                given.valueOf(connections),
                given.valueOf(serviceTime),
                given.valueOf(coldCalls),
                given.valueOf(restart));
    }

    private OptionSpec<Integer> integerOption(String name, String description, int defaultValue) {
        return parser.accepts(name, description)
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(defaultValue);
    }

    private static void exitAfterFailure(Throwable failure) {
        System.err.println("The target cannot start: " + failure.getMessage());
        System.exit(1);
    }
}
