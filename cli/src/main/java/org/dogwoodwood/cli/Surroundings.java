package org.dogwoodwood.cli;

import java.io.InputStream;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Map;

/**
 * What the tool gets from its process.
 *
 * @param in standard input
 * @param out standard output
 * @param err standard error
 * @param environment the environment variables
 * @param directory the working directory
 */
public record Surroundings(
        InputStream in,
        PrintStream out,
        PrintStream err,
        Map<String, String> environment,
        Path directory) {

    /** Copies the environment. */
    public Surroundings {
        environment = Map.copyOf(environment);
    }

    /** Returns the surroundings of this process. */
    public static Surroundings ofProcess() {
        return new Surroundings(System.in, System.out, System.err, System.getenv(), Path.of(""));
    }
}
