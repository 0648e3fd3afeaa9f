package org.dogwoodwood.node.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a node that starts with invalid settings, and problems without key or remedy. */
class SettingsReaderTests {

    private static final String MINIMAL =
            """
            data_centre = "north"
            caller_address = "0.0.0.0:8080"
            peer_address = "10.0.0.1:7400"
            admin_address = "127.0.0.1:7401"
            log_address = "10.0.0.9:9000"
            """;

    private static final String FULL =
            MINIMAL
                    + """
                    node_id = "vm-17"
                    caller_http2_address = "[::1]:8081"
                    seeds = ["10.0.0.2:7400", "10.0.0.3:7400"]
                    shared_secret = "secret"

                    [target]
                    service = "outings"
                    address = "127.0.0.1:9001"
                    slots = 18
                    connections = 240
                    cold_slots = 2

                    [budgets]
                    polls_per_second = 1.5
                    stop_seconds = 20
                    """;

    @Test
    void readsAllKeys() {
        NodeSettings settings = SettingsReader.parse(FULL);

        assertThat(settings.nodeId().value()).isEqualTo("vm-17");
        assertThat(settings.callerHttp2Address()).contains(Endpoint.of("::1", 8081));
        assertThat(settings.seeds()).hasSize(2);
        assertThat(settings.target().orElseThrow())
                .isEqualTo(
                        new TargetSettings("outings", Endpoint.of("127.0.0.1", 9001), 18, 240, 2));
        assertThat(settings.budgets()).isEqualTo(new Budgets(1.5, 0.01, 10_000, 20));
        assertThat(settings.toString()).doesNotContain("secret");
    }

    @Test
    void generatesADifferentNodeIdEachTime() {
        assertThat(SettingsReader.parse(MINIMAL).nodeId())
                .isNotEqualTo(SettingsReader.parse(MINIMAL).nodeId());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "data_centre = \"north\" | data_centr = \"n\" | data_centre",
                "data_centre = \"north\" | data_centre = 5 | data_centre",
                "10.0.0.1:7400 | 10.0.0.1 | peer_address",
                "10.0.0.1:7400 | 10.0.0.1:70000 | peer_address",
                "10.0.0.1:7400 | 0.0.0.0:7400 | peer_address",
                "slots = 18 | slots = 0 | target.slots",
                "cold_slots = 2 | cold_slots = 19 | target.cold_slots",
                "service = \"outings\" | colour = \"blue\" | target.service",
                "polls_per_second = 1.5 | polls_per_second = -1 | budgets.polls_per_second",
                "stop_seconds = 20 | stop_seconds = \"x\" | budgets.stop_seconds",
                "[budgets] | [budget] | budget",
                "node_id = \"vm-17\" | node_id = ] | line 6",
            })
    void reportsKeyProblemAndRemedy(String from, String to, String key) {
        SettingsException exception = parseInvalid(FULL.replace(from, to));

        SettingsProblem problem = exception.problems().get(0);
        assertThat(problem.key()).isEqualTo(key);
        assertThat(List.of(problem.problem(), problem.remedy())).allMatch(s -> s.endsWith("."));
        assertThat(exception.getMessage()).contains("5001", key);
    }

    @Test
    void refusesARemoteAdminPortWithoutASecret() {
        assertThat(parseInvalid(MINIMAL.replace("127.0.0.1", "10.0.0.1")).problems())
                .singleElement()
                .matches(problem -> problem.key().equals("admin_address"));
    }

    @Test
    void reportsAllProblemsAtOnceAndAMissingFile() {
        assertThat(parseInvalid("").problems()).hasSize(4);
        SettingsException missing =
                catchThrowableOfType(
                        SettingsException.class,
                        () -> SettingsReader.read(Path.of("no-such-file.toml")));
        assertThat(missing.problems()).hasSize(1);
    }

    private static SettingsException parseInvalid(String toml) {
        return catchThrowableOfType(SettingsException.class, () -> SettingsReader.parse(toml));
    }
}
