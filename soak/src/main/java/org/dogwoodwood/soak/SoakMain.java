package org.dogwoodwood.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/** The command {@code soak}, which plays one soak and prints its outcome. */
public final class SoakMain {

    private static final int OK = 0;
    private static final int BROKEN = 1;
    private static final int USAGE = 2;
    private static final int NOT_PLAYED = 3;

    private static final OptionParser PARSER = new OptionParser();
    private static final OptionSpec<Long> SEED =
            PARSER.accepts("seed").withRequiredArg().ofType(Long.class).defaultsTo(1L);
    private static final OptionSpec<Integer> SECONDS = number("seconds", 30);
    private static final OptionSpec<Integer> TARGETS =
            PARSER.accepts("targets")
                    .withRequiredArg()
                    .ofType(Integer.class)
                    .withValuesSeparatedBy(',')
                    .defaultsTo(3, 3);
    private static final OptionSpec<Integer> CLIENTS = number("clients-per-node", 4);
    private static final OptionSpec<Integer> REJECTED = number("rejected-percent", 8);
    private static final OptionSpec<Void> NEXT_ATTEMPT = PARSER.accepts("copies-for-next-attempt");
    private static final OptionSpec<Integer> TROUBLE_GAP = number("trouble-gap-ms", 700);
    private static final OptionSpec<Void> HANGUP_FROM_START = PARSER.accepts("hangup-from-start");
    private static final OptionSpec<Void> RETURNS = PARSER.accepts("returns");
    private static final OptionSpec<String> CLASS_PATH =
            PARSER.accepts("node-class-path")
                    .withRequiredArg()
                    .defaultsTo(System.getProperty("java.class.path"));
    private static final OptionSpec<String> ARCHIVE =
            PARSER.accepts("node-archive").withRequiredArg();
    private static final OptionSpec<String> FLAGS = PARSER.accepts("node-flag").withRequiredArg();

    private SoakMain() {}

    /**
     * Runs the command; the exit status is 1 after a violation, 2 after a usage error and 3 if the
     * soak could not be played.
     */
    public static void main(String[] arguments) throws InterruptedException {
        System.exit(run(arguments));
    }

    private static int run(String[] arguments) throws InterruptedException {
        try {
            OptionSet given = PARSER.parse(arguments);
            SoakOptions options = read(given);
            Path folder = Files.createTempDirectory("soak");
            System.out.println("logs of the nodes: " + folder);
            SoakResult result =
                    given.has(RETURNS)
                            ? ReturnSoak.run(options, folder)
                            : Soak.run(options, folder);
            result.print(System.out);
            return result.violations().isEmpty() ? OK : BROKEN;
        } catch (OptionException | IllegalArgumentException e) {
            System.err.println(e.getMessage() + ". The options are in docs/soak.md.");
            return USAGE;
        } catch (IOException e) {
            System.err.println("The soak could not be played: " + e.getMessage());
            return NOT_PLAYED;
        }
    }

    private static SoakOptions read(OptionSet options) {
        return new SoakOptions(
                options.valueOf(SEED),
                options.valueOf(SECONDS),
                options.valuesOf(TARGETS),
                options.valueOf(CLIENTS),
                options.valueOf(REJECTED),
                options.has(NEXT_ATTEMPT),
                options.valueOf(TROUBLE_GAP),
                options.has(HANGUP_FROM_START)
                        ? HangupPolicy.FROM_START
                        : HangupPolicy.FROM_READINESS_PORT,
                new NodeCommand(
                        options.valueOf(CLASS_PATH),
                        Optional.ofNullable(options.valueOf(ARCHIVE)),
                        options.valuesOf(FLAGS)));
    }

    private static OptionSpec<Integer> number(String name, int value) {
        return PARSER.accepts(name).withRequiredArg().ofType(Integer.class).defaultsTo(value);
    }
}
