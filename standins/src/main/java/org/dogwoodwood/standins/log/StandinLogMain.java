package org.dogwoodwood.standins.log;

import io.vertx.core.Vertx;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/** Runs the stand-in log until the process ends. */
public final class StandinLogMain {

    private StandinLogMain() {}

    /** Starts the log and prints the address that it listens on. */
    public static void main(String[] arguments) {
        OptionParser parser = new OptionParser();
        OptionSpec<Integer> port = parser.accepts("port").withRequiredArg().ofType(Integer.class);
        OptionSpec<Integer> rate =
                parser.accepts("appends-per-second")
                        .withRequiredArg()
                        .ofType(Integer.class)
                        .defaultsTo(StandinLogOptions.DEFAULT_APPENDS_PER_SECOND);
        OptionSpec<Long> retention =
                parser.accepts("retention-ms").withRequiredArg().ofType(Long.class).defaultsTo(0L);
        StandinLogOptions options;
        try {
            OptionSet given = parser.parse(arguments);
            int portNumber = given.has(port) ? given.valueOf(port) : 0;
            options =
                    new StandinLogOptions(
                            portNumber, given.valueOf(rate), given.valueOf(retention));
        } catch (OptionException e) {
            System.err.println(
                    e.getMessage() + ". Use --port, --appends-per-second, " + "--retention-ms.");
            System.exit(2);
            return;
        }
        Vertx vertx = Vertx.vertx();
        StandinLog.start(vertx, options)
                .onSuccess(log -> System.out.println("listening on 127.0.0.1:" + log.port()))
                .onFailure(StandinLogMain::exitAfterFailure);
    }

    private static void exitAfterFailure(Throwable failure) {
        System.err.println("The log cannot start: " + failure.getMessage());
        System.exit(1);
    }
}
