package org.dogwoodwood.cli;

import java.io.ByteArrayOutputStream;
import java.io.InputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;

/** The exit code and the output of one run of the tool. */
record ToolRun(ExitStatus status, String out, String err) {

    static ToolRun of(Path directory, Map<String, String> environment, String... arguments) {
        return of(InputStream.nullInputStream(), directory, environment, arguments);
    }

    static ToolRun of(
            InputStream in, Path directory, Map<String, String> environment, String... arguments) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        ProcessContext context =
                new ProcessContext(
                        in,
                        new PrintStream(out, true, StandardCharsets.UTF_8),
                        new PrintStream(err, true, StandardCharsets.UTF_8),
                        environment,
                        directory);
        ExitStatus status = Tool.create(ToolMain.commands(), context).run(arguments);
        return new ToolRun(
                status, out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
    }

    static ToolRun of(Path directory, String... arguments) {
        return of(directory, Map.of(), arguments);
    }
}
