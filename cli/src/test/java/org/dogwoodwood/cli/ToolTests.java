package org.dogwoodwood.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.dogwoodwood.core.ErrorCode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against stack traces, missing remedies and wrong exit codes for invalid input. */
class ToolTests {

    @TempDir private Path directory;

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
                    chekc .                         | Did you mean 'check'?
                    check                           | DIR is missing.
                    check a b                       | 'b' is one operand too many.
                    check absent                    | is not a directory
                    check . --colour                | colour is not a recognized option
                    publish . --base x              | Cannot parse argument 'x' of option base
                    show --version 1 --version 2    | Found multiple arguments for option version
                    publish . --wait -1             | Give from 0 to 3600 seconds.
                    show --log nowhere              | Write HOST:PORT
                    show --log 127.0.0.1:99999      | Write HOST:PORT
                    show                            | Give --log HOST:PORT
                    status                          | Give --node HOST:PORT
                    show --settings absent.toml     | cannot be read
                    explain twelve                  | 'twelve' is not a number.
                    trace 5ab                       | FILE is missing.
                    trace 5ab absent.log            | cannot be read
                    explain 12                      | There is no error or event 12.
                    """)
    void printsRemedyForInvalidCommandLine(String line, String expected) {
        ToolRun run = ToolRun.of(directory, line.split(" "));

        assertThat(run.status()).isEqualTo(ExitStatus.USAGE);
        assertThat(run.err()).startsWith("error ").contains(expected).doesNotContain("\tat ");
        assertThat(run.out()).isEmpty();
    }

    @Test
    void printsErrorsAsJson() {
        ToolRun run = ToolRun.of(directory, "status", "--json");

        assertThat(run.out()).contains("\"code\" : 8001", "\"remedy\"", "\"exit\" : 2");
        assertThat(run.err()).isEmpty();
    }

    @ParameterizedTest
    @CsvSource({"[,1", "nodes = 3,nodes", "log_adress = 'a:1',Did you mean 'log_address'?"})
    void rejectsInvalidSettings(String text, String expected) throws IOException {
        Files.writeString(directory.resolve("dogwoodwood.toml"), text);

        ToolRun run = ToolRun.of(directory, "status");

        assertThat(run.status()).isEqualTo(ExitStatus.USAGE);
        assertThat(run.err()).contains("error 5001", expected);
    }

    @Test
    void optionsOverrideEnvironmentAndEnvironmentOverridesFile() throws IOException {
        Files.writeString(directory.resolve("dogwoodwood.toml"), "nodes = ['127.0.0.1:3']\n");
        Map<String, String> environment = Map.of("DOGWOODWOOD_NODES", "127.0.0.1:2");

        assertThat(ToolRun.of(directory, "status").err()).contains("127.0.0.1:3");
        assertThat(ToolRun.of(directory, environment, "status").err()).contains("127.0.0.1:2");
        assertThat(ToolRun.of(directory, environment, "status", "--node", "127.0.0.1:1").err())
                .contains("127.0.0.1:1");
    }

    @Test
    void helpListsCommandsOptionsAndExitCodes() {
        String general = ToolRun.of(directory, "--help").out();
        for (Command command : ToolMain.commands()) {
            assertThat(general).contains("  " + command.name() + " ");
            ToolRun help = ToolRun.of(directory, command.name(), "--help");
            assertThat(help.status()).isEqualTo(ExitStatus.OK);
            assertThat(help.out()).contains("Usage: dogwoodwood " + command.name(), "--json");
        }
        for (ExitStatus status : ExitStatus.values()) {
            assertThat(general).contains(status.code() + "  " + status.meaning());
        }
    }

    @Test
    void explainsLogEventsFromDocumentation() {
        ToolRun run = ToolRun.of(directory, "explain", "302");

        assertThat(run.status()).isEqualTo(ExitStatus.OK);
        assertThat(run.out())
                .contains("Event 302 TARGET_DOWN", "What to do: Look at the target on this VM.");
    }

    @ParameterizedTest
    @EnumSource(ErrorCode.class)
    void explainsEveryError(ErrorCode code) {
        ToolRun run = ToolRun.of(directory, "explain", Integer.toString(code.number()));

        assertThat(run.status()).isEqualTo(ExitStatus.OK);
        assertThat(run.out()).contains(code.name(), code.remedy());
    }
}
