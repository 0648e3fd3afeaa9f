package org.dogwoodwood.benchmarks;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.File;
import java.io.IOException;
import java.util.List;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.dogwoodwood.benchmarks.policy.Policy;
import org.dogwoodwood.benchmarks.report.Row;
import org.dogwoodwood.benchmarks.report.Table;
import org.dogwoodwood.benchmarks.simulation.Workload;

/** Entry point of {@code bin/benchmark}, which runs the simulated benchmarks. */
public final class BenchmarkMain {

    private static final int DEFAULT_SECONDS = 20;
    private static final long DEFAULT_SEED = 1;
    private static final int USAGE_STATUS = 2;

    private BenchmarkMain() {}

    /** Runs the benchmark with the options of the command line. */
    public static void main(String[] arguments) throws IOException {
        OptionParser parser = new OptionParser();
        OptionSpec<Long> seed =
                parser.accepts("seed", "seed of calls and neighbours")
                        .withRequiredArg()
                        .ofType(Long.class)
                        .defaultsTo(DEFAULT_SEED);
        OptionSpec<String> workload =
                parser.accepts("workload", "guides or association; both if absent")
                        .withRequiredArg();
        OptionSpec<Integer> seconds =
                parser.accepts("seconds", "measured virtual seconds of each run")
                        .withRequiredArg()
                        .ofType(Integer.class)
                        .defaultsTo(DEFAULT_SECONDS);
        OptionSpec<String> policy =
                parser.accepts("policy", "one policy; all if absent").withRequiredArg();
        OptionSpec<File> json =
                parser.accepts("json", "file for the rows as JSON")
                        .withRequiredArg()
                        .ofType(File.class);
        OptionSpec<Void> help = parser.accepts("help", "prints the options").forHelp();
        try {
            OptionSet options = parser.parse(arguments);
            if (options.has(help)) {
                parser.printHelpOn(System.out);
                return;
            }
            List<Row> rows =
                    BenchmarkRunner.runAll(
                            workloads(options.valueOf(workload)),
                            policies(options.valueOf(policy)),
                            options.valueOf(seed),
                            options.valueOf(seconds));
            System.out.print(Table.format(rows));
            if (options.has(json)) {
                write(options.valueOf(json), rows);
            }
        } catch (OptionException | IllegalArgumentException e) {
            System.err.println(e.getMessage() + " Run with --help for the options.");
            System.exit(USAGE_STATUS);
        }
    }

    private static List<Workload> workloads(String name) {
        List<Workload> all = List.of(Workload.GUIDES, Workload.ASSOCIATION);
        List<Workload> selected =
                all.stream().filter(w -> name == null || w.name().equals(name)).toList();
        if (selected.isEmpty()) {
            throw new IllegalArgumentException("Unknown workload: " + name + ".");
        }
        return selected;
    }

    private static List<Policy> policies(String name) {
        List<Policy> all = List.of(Policy.values());
        List<Policy> selected =
                all.stream().filter(p -> name == null || p.label().equals(name)).toList();
        if (selected.isEmpty()) {
            throw new IllegalArgumentException("Unknown policy: " + name + ".");
        }
        return selected;
    }

    private static void write(File file, List<Row> rows) throws IOException {
        new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT).writeValue(file, rows);
    }
}
