package org.dogwoodwood.benchmarks.slopes;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/** Measures the slopes of {@code docs/CAPACITY.md} and prints them. */
public final class SlopesMain {

    private static final int[] MEMBERS = {500, 2_000, 8_000, 23_000};
    private static final int[] SERVICES = {50, 200, 500, 970};
    private static final int[] CANDIDATES = {4, 8, 24, 64};
    private static final int[] SLOTS = {6, 18, 64};
    private static final int[] KEPT_CALLS = {1_000, 4_000, 16_000};
    private static final int USAGE_EXIT_CODE = 2;

    private SlopesMain() {}

    /** Measures all quantities; {@code --csv FILE} writes every sample to a file. */
    public static void main(String[] arguments) throws IOException {
        OptionParser parser = new OptionParser();
        OptionSpec<Path> csv =
                parser.accepts("csv", "write every sample to this file")
                        .withRequiredArg()
                        .withValuesConvertedBy(new joptsimple.util.PathConverter());
        OptionSpec<Long> seed =
                parser.accepts("seed", "the seed of all random choices")
                        .withRequiredArg()
                        .ofType(Long.class)
                        .defaultsTo(1L);
        parser.accepts("help", "print this help").forHelp();
        OptionSet options;
        try {
            options = parser.parse(arguments);
        } catch (OptionException e) {
            System.err.println(e.getMessage() + ". Run bin/slopes --help.");
            System.exit(USAGE_EXIT_CODE);
            return;
        }
        if (options.has("help")) {
            parser.printHelpOn(System.out);
            return;
        }
        List<Sample> samples = measure(options.valueOf(seed));
        SlopeReport report = SlopeReport.of(samples);
        report.print(System.out);
        if (options.has(csv)) {
            try (PrintStream file = new PrintStream(Files.newOutputStream(options.valueOf(csv)))) {
                report.writeCsv(file);
            }
        }
    }

    private static List<Sample> measure(long seed) {
        List<Sample> samples = new ArrayList<>();
        samples.addAll(MembershipSlopes.measure(MEMBERS, seed));
        samples.addAll(ConfigurationSlopes.measure(SERVICES));
        samples.addAll(CallSlopes.measureChoice(CANDIDATES, seed));
        samples.addAll(CallSlopes.measureAdmission(SLOTS));
        samples.addAll(CallSlopes.measureFrames());
        samples.addAll(CallSlopes.measureKeptCalls(KEPT_CALLS));
        return samples;
    }
}
