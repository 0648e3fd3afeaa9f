package org.dogwoodwood.core.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.dogwoodwood.core.ErrorCode;
import org.junit.jupiter.api.Test;

/** Guards against accepting inconsistent sets of objects. */
class ConfigurationCheckerTests {

    private static final ServiceDefinition OUTINGS = service("outings");

    @Test
    void acceptsConsistentObjects() {
        assertThat(check(OUTINGS)).isEmpty();
    }

    @Test
    void reportsDanglingReferences() {
        ServiceDefinition service =
                new ServiceDefinition(
                        "outings",
                        List.of(),
                        "missing",
                        List.of("coast", "nowhere"),
                        List.of("nobody"),
                        2_000,
                        Set.of("GET"),
                        120,
                        1,
                        1);

        assertThat(check(service))
                .extracting(problem -> problem.location().key())
                .containsExactly("call_classes", "data_centres", "policy");
    }

    @Test
    void rejectsServiceWithoutDataCentres() {
        assertThat(check(outingsWith(List.of(), List.of("default"), 2_000, Set.of("GET"), 120)))
                .singleElement()
                .extracting(ConfigurationProblem::code)
                .isEqualTo(ErrorCode.MISSING_KEY);
    }

    @Test
    void rejectsServiceWithoutCallClasses() {
        assertThat(check(outingsWith(List.of("coast"), List.of(), 2_000, Set.of("GET"), 120)))
                .extracting(ConfigurationProblem::code)
                .containsExactly(ErrorCode.MISSING_KEY);
    }

    @Test
    void rejectsHedgingWithoutIdempotentMethods() {
        assertThat(check(outingsWith(List.of("coast"), List.of("default"), 2_000, Set.of(), 120)))
                .singleElement()
                .satisfies(
                        problem -> {
                            assertThat(problem.code()).isEqualTo(ErrorCode.CONTRADICTORY_LIMITS);
                            assertThat(problem.remedy()).contains("hedge_quantile = 0");
                        });
    }

    @Test
    void rejectsTimeoutNotAboveTheQueueLimit() {
        assertThat(
                        check(
                                outingsWith(
                                        List.of("coast"),
                                        List.of("default"),
                                        100,
                                        Set.of("GET"),
                                        120)))
                .singleElement()
                .extracting(ConfigurationProblem::message)
                .asString()
                .contains("time out in the queue");
    }

    @Test
    void rejectsKeyWindowShorterThanTheTimeout() {
        assertThat(
                        check(
                                outingsWith(
                                        List.of("coast"),
                                        List.of("default"),
                                        5_001,
                                        Set.of("GET"),
                                        5)))
                .singleElement()
                .extracting(problem -> problem.location().key())
                .isEqualTo("key_window_seconds");
    }

    @Test
    void rejectsClassesThatLeaveCapacityUnused() {
        CallClassDefinition small = new CallClassDefinition("small", 1, 0.4);
        ServiceDefinition service =
                outingsWith(List.of("coast"), List.of("small"), 2_000, Set.of("GET"), 120);

        assertThat(check(configuration(Map.of("outings", service), Map.of("small", small))))
                .singleElement()
                .extracting(ConfigurationProblem::message)
                .asString()
                .contains("add up to 0.40");
    }

    @Test
    void rejectsClassWithZeroShare() {
        CallClassDefinition none = new CallClassDefinition("none", 1, 0);

        assertThat(check(configuration(Map.of("outings", OUTINGS), Map.of("none", none))))
                .singleElement()
                .extracting(ConfigurationProblem::remedy)
                .isEqualTo("Use a value above 0 to 1.");
    }

    @Test
    void rejectsHostThatSelectsTwoServices() {
        ServiceDefinition other =
                new ServiceDefinition(
                        "guide",
                        List.of("Outings"),
                        "default",
                        List.of("coast"),
                        List.of("default"),
                        2_000,
                        Set.of("GET"),
                        120,
                        1,
                        1);

        assertThat(check(configuration(Map.of("outings", OUTINGS, "guide", other), Map.of())))
                .singleElement()
                .extracting(ConfigurationProblem::message)
                .isEqualTo("The host 'Outings' already selects service.outings.");
    }

    @Test
    void rejectsNamesThatCannotBeHostLabels() {
        assertThat(check(service("Outings!")))
                .singleElement()
                .extracting(ConfigurationProblem::code)
                .isEqualTo(ErrorCode.VALUE_OUT_OF_RANGE);
    }

    @Test
    void changesListObjectKeyAndValues() {
        Configuration before = configuration(Map.of("outings", OUTINGS), Map.of());
        Configuration after =
                configuration(
                        Map.of(
                                "outings",
                                outingsWith(
                                        List.of("coast"),
                                        List.of("default"),
                                        900,
                                        Set.of("GET"),
                                        120),
                                "guide",
                                service("guide")),
                        Map.of());

        assertThat(ConfigurationChange.between(before, after))
                .extracting(ConfigurationChange::toString)
                .containsExactly(
                        "+ service.guide", "~ service.outings.timeout_millis: 2000 -> 900");
        assertThat(ConfigurationChange.between(after, after.withVersion(4))).isEmpty();
    }

    @Test
    void rangesOfKeysIncludeTheirDefaults() {
        for (ConfigurationKey key : ConfigurationKey.values()) {
            key.range()
                    .ifPresent(
                            range ->
                                    assertThat(
                                                    range.contains(
                                                            ((Number)
                                                                            key.defaultValue()
                                                                                    .orElseThrow())
                                                                    .doubleValue()))
                                            .as(key.label())
                                            .isTrue());
        }
    }

    private static List<ConfigurationProblem> check(ServiceDefinition service) {
        return check(configuration(Map.of(service.name(), service), Map.of()));
    }

    private static List<ConfigurationProblem> check(Configuration configuration) {
        return ConfigurationChecker.create().check(configuration);
    }

    private static Configuration configuration(
            Map<String, ServiceDefinition> services, Map<String, CallClassDefinition> classes) {
        return new Configuration(
                0,
                services,
                Map.of("coast", new DataCentreDefinition("coast", "north")),
                classes,
                Map.of());
    }

    private static ServiceDefinition service(String name) {
        return new ServiceDefinition(
                name,
                List.of(),
                "default",
                List.of("coast"),
                List.of("default"),
                2_000,
                Set.of("GET"),
                120,
                1,
                1);
    }

    private static ServiceDefinition outingsWith(
            List<String> dataCentres,
            List<String> classes,
            int timeoutMillis,
            Set<String> methods,
            int windowSeconds) {
        return new ServiceDefinition(
                "outings",
                List.of(),
                "default",
                dataCentres,
                classes,
                timeoutMillis,
                methods,
                windowSeconds,
                1,
                1);
    }
}
