package org.dogwoodwood.cli;

import java.io.InputStream;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Map;

/**
 * The standard streams, environment and working directory of the process that runs the tool.
 *
 * @param in standard input
 * @param out standard output
 * @param err standard error
 * @param environment the environment variables
 * @param workingDirectory the working directory
 */
public record ProcessContext(
        InputStream in,
        PrintStream out,
        PrintStream err,
        Map<String, String> environment,
        Path workingDirectory) {

    /** Copies the environment. */
    public ProcessContext {
        environment = Map.copyOf(environment);
    }

    /** Returns the context of the current process. */
    public static ProcessContext current() {
        return new ProcessContext(System.in, System.out, System.err, System.getenv(), Path.of(""));
    }
}
