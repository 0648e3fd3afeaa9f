package org.dogwoodwood.codec.configuration;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.dogwoodwood.core.DogwoodwoodException;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.core.configuration.AccountDefinition;
import org.dogwoodwood.core.configuration.AccountKey;
import org.dogwoodwood.core.configuration.CheckResult;
import org.dogwoodwood.core.configuration.Configuration;
import org.dogwoodwood.core.configuration.ConfigurationProblem;
import org.dogwoodwood.core.configuration.Execution;
import org.dogwoodwood.core.configuration.RouteDefinition;
import org.dogwoodwood.core.configuration.ServiceDefinition;
import org.dogwoodwood.core.configuration.ServiceShare;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against invalid input that is accepted, misreported or hidden by other errors. */
class ConfigurationReaderTests {

    private static final String VALID =
            """
            [service.outings]
            data_centres = ["coast"]
            timeout_millis = 1500

            [data-centre.coast]
            region = "north"
            """;

    @TempDir private Path directory;

    @Test
    void fillsDefaultsOfAbsentKeys() throws IOException {
        Configuration configuration = read(VALID).configuration().orElseThrow();

        ServiceDefinition service = configuration.services().get("outings");
        assertThat(service.timeoutMillis()).isEqualTo(1500);
        assertThat(service.idempotentMethods()).isEqualTo(ServiceDefinition.IDEMPOTENT_METHODS);
        assertThat(service.policy()).isEqualTo("default");
        assertThat(configuration.policies()).containsKey("default");
        assertThat(configuration.callClasses()).containsKey("default");
    }

    @Test
    void writtenConfigurationRoundTrips() throws IOException {
        Configuration configuration = read(VALID).configuration().orElseThrow();

        Configuration rewritten =
                read(ConfigurationWriter.write(configuration)).configuration().orElseThrow();

        assertThat(rewritten).isEqualTo(configuration);
    }

    /** Guards against routes that are lost or changed when they are written and read again. */
    @Test
    void routesRoundTrip() throws IOException {
        String route =
                """
                [route.booking]
                host = "booking.example"
                path_prefix = "/outings/"
                shares = ["outings=90"]
                execution = "at-most-once"
                timeout_millis = 900
                max_attempts = 2
                """;
        Configuration configuration = read(VALID + route).configuration().orElseThrow();

        RouteDefinition read = configuration.routes().get("booking");
        assertThat(read.shares()).containsExactly(new ServiceShare("outings", 90));
        assertThat(read.execution()).isEqualTo(Execution.AT_MOST_ONCE);
        assertThat(read(ConfigurationWriter.write(configuration)).configuration())
                .contains(configuration);
    }

    /** Guards against an invalid route that silently drops calls or runs them twice. */
    @Test
    void accountsRoundTrip() throws IOException {
        String digest = AccountKey.fromClearText("one").digest();
        String text =
                VALID
                        + """
                        [account.guides]
                        key_digests = ["%s"]
                        call_class = "default"
                        calls_per_second = 2.5
                        burst = 4
                        """
                                .formatted(digest);

        Configuration configuration = read(text).configuration().orElseThrow();

        assertThat(configuration.accounts().get("guides"))
                .isEqualTo(
                        new AccountDefinition(
                                "guides",
                                Set.of(new AccountKey(digest)),
                                Optional.of("default"),
                                2.5,
                                4));
        assertThat(read(ConfigurationWriter.write(configuration)).configuration())
                .contains(configuration);
    }

    /** Guards against a key that is written in clear text and appears in the output of a check. */
    @Test
    void reportsAKeyInClearTextWithoutShowingIt() throws IOException {
        for (String value : List.of("[\"clear-text\"]", "\"clear-text\"")) {
            CheckResult result = read(VALID + "\n[account.guides]\nkey_digests = " + value + "\n");

            assertThat(result.problems())
                    .singleElement()
                    .satisfies(
                            problem -> {
                                assertThat(problem.location().key()).isEqualTo("key_digests");
                                assertThat(problem.location().line()).isEqualTo(9);
                                assertThat(problem.toString()).doesNotContain("clear-text");
                            });
        }
    }

    @Test
    void reportsInvalidRoutes() throws IOException {
        String routes =
                """
                [route.first]
                host = "a.example"
                path_prefix = "/outings"
                shares = ["outings=x"]
                execution = "sometimes"

                [route.second]
                host = "b.example"
                shares = ["outings=0"]
                execution = "idempotent"

                [route.third]
                host = "B.example"
                shares = ["outings"]
                execution = "idempotent"
                """;

        assertThat(read(VALID + routes).problems())
                .extracting(problem -> problem.location().key())
                .containsExactlyInAnyOrder(
                        "shares", "execution", "path_prefix", "shares", "path_prefix");
    }

    @Test
    void reportsTheProblemsOfAllFilesAtOnce() throws IOException {
        write("b.toml", "[data-centre.coast]\nregion = 3\n");

        CheckResult result =
                read(
                        """
                        [service.outings]
                        data_centres = ["coats"]
                        timeout_milis = 100
                        max_answer_bytes = 99999999999

                        [data-centre.coast]
                        region = "north"
                        """);

        assertThat(result.configuration()).isEmpty();
        assertThat(result.problems())
                .extracting(ConfigurationProblem::toString)
                .containsExactly(
                        "a.toml:2: service.outings.data_centres: 4003 data_centres names"
                                + " data-centre.coats, which is not defined. Did you mean"
                                + " 'coast'?",
                        "a.toml:3: service.outings.timeout_milis: 4002 'timeout_milis' is not a"
                                + " key of a service. Did you mean 'timeout_millis'?",
                        "a.toml:4: service.outings.max_answer_bytes: 4006 max_answer_bytes is"
                                + " 99999999999, outside its range. Use a value from 1 to"
                                + " 5242880.",
                        "b.toml:1: data-centre.coast: 4004 data-centre.coast is defined more than"
                                + " once. Keep one definition; the other is at a.toml:6.",
                        "b.toml:2: data-centre.coast.region: 4008 region has the wrong type: 3."
                                + " Write a string in quotes, such as \"coast\".");
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
                    servise.x.policy = 'a'           | 4002 | 1 | Did you mean 'service'?
                    policy = 3                       | 4008 | 1 | Write [policy.NAME]
                    service.x = 3                    | 4008 | 1 | Write [service.x]
                    policy.x.crash_limit = 1.5       | 4008 | 1 | a whole number
                    policy.x.crash_limit = 'many'    | 4008 | 1 | a whole number
                    policy.x.retry_share = nan       | 4006 | 1 | from 0 to 0.5
                    policy.x.retry_share = true      | 4008 | 1 | a number
                    service.x.data_centres = ['a', 3] | 4008 | 1 | a list of strings
                    class.x.weight =                 | 4001 | 1 | Correct the TOML
                    """)
    void reportsLineAndRemedy(String line, int number, int lineNumber, String remedy)
            throws IOException {
        List<ConfigurationProblem> problems = read(line + "\n" + VALID).problems();

        assertThat(problems)
                .filteredOn(problem -> problem.location().line() == lineNumber)
                .singleElement()
                .satisfies(
                        problem -> {
                            assertThat(problem.code().number()).isEqualTo(number);
                            assertThat(problem.remedy()).contains(remedy);
                        });
    }

    @Test
    void syntaxErrorHidesNoProblemOfOtherFilesAndCausesNoDanglingReferences() throws IOException {
        write("b.toml", "[data-centre.coast]\nregion = \n");

        List<ConfigurationProblem> problems =
                read("""
                [service.outings]
                data_centres = ["coast"]
                timeout_millis = 0
                """)
                        .problems();

        assertThat(problems)
                .extracting(problem -> problem.location().file() + problem.code().number())
                .contains("a.toml4006", "b.toml4001")
                .doesNotContain("a.toml4003");
    }

    @Test
    void reportsRepeatedTableOfOneFileWithBothLines() throws IOException {
        List<ConfigurationProblem> problems =
                read(VALID + "[data-centre.coast]\nregion = 'south'\n").problems();

        assertThat(problems)
                .singleElement()
                .hasToString(
                        "a.toml:7: data-centre.coast: 4004 data-centre.coast is defined more than"
                                + " once. Keep one definition; the other is at a.toml:5.");
    }

    @Test
    void rejectsDirectoriesWithoutServices() throws IOException {
        assertThat(read("[data-centre.coast]\nregion = 'n'\n").problems())
                .singleElement()
                .extracting(ConfigurationProblem::code)
                .isEqualTo(ErrorCode.MISSING_KEY);
        assertThatThrownBy(() -> ConfigurationReader.create().read(directory.resolve("absent")))
                .isInstanceOf(DogwoodwoodException.class)
                .hasMessageContaining("is not a directory");
    }

    @Test
    void rejectsFilesThatAreNotUtf8() throws IOException {
        Files.write(directory.resolve("b.toml"), new byte[] {(byte) 0xff, (byte) 0xfe, 0, 1});

        assertThat(read(VALID).problems())
                .singleElement()
                .extracting(ConfigurationProblem::message)
                .isEqualTo("The file is not UTF-8.");
    }

    private CheckResult read(String text) throws IOException {
        write("a.toml", text);
        return ConfigurationReader.create().read(directory);
    }

    private void write(String name, String text) throws IOException {
        Files.writeString(directory.resolve(name), text, StandardCharsets.UTF_8);
    }
}
