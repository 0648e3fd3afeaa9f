package org.dogwoodwood.codec.configuration;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.dogwoodwood.core.DogwoodwoodException;
import org.dogwoodwood.core.configuration.AccountDefinition;
import org.dogwoodwood.core.configuration.AccountKey;
import org.dogwoodwood.core.configuration.CallClassDefinition;
import org.dogwoodwood.core.configuration.Configuration;
import org.dogwoodwood.core.configuration.DataCentreDefinition;
import org.dogwoodwood.core.configuration.Execution;
import org.dogwoodwood.core.configuration.PolicyDefinition;
import org.dogwoodwood.core.configuration.RouteDefinition;
import org.dogwoodwood.core.configuration.ServiceDefinition;
import org.dogwoodwood.core.configuration.ServiceShare;
import org.junit.jupiter.api.Test;

class ConfigurationJsonCodecTests {

    private static final Configuration CONFIGURATION =
            new Configuration(
                    3,
                    Map.of(
                            "outings",
                            new ServiceDefinition(
                                    "outings",
                                    List.of("outings.example"),
                                    "standard",
                                    List.of("north"),
                                    List.of("default"),
                                    1_500,
                                    ServiceDefinition.IDEMPOTENT_METHODS,
                                    60,
                                    1_000,
                                    2_000)),
                    Map.of("north", new DataCentreDefinition("north", "coast")),
                    Map.of("default", new CallClassDefinition("default", 10, 0.5)),
                    Map.of("standard", PolicyDefinition.withDefaults("standard")));

    private static final Configuration WITH_ACCOUNTS =
            new Configuration(
                    4,
                    CONFIGURATION.services(),
                    CONFIGURATION.dataCentres(),
                    CONFIGURATION.callClasses(),
                    CONFIGURATION.policies(),
                    Map.of(
                            "browse",
                            new RouteDefinition(
                                    "browse",
                                    "outings.example",
                                    "/",
                                    List.of(new ServiceShare("outings", 1)),
                                    Execution.IDEMPOTENT,
                                    1_000,
                                    100,
                                    "default",
                                    2,
                                    true)),
                    Map.of(
                            "guides",
                            new AccountDefinition(
                                    "guides",
                                    Set.of(
                                            AccountKey.fromClearText("one"),
                                            AccountKey.fromClearText("two"),
                                            AccountKey.fromClearText("three")),
                                    Optional.of("default"),
                                    205.5,
                                    300),
                            "school",
                            new AccountDefinition("school", Set.of(), Optional.empty(), 0, 0)));

    /** Guards against a field that is lost or renamed between the publisher and a node. */
    @Test
    void everyFieldRoundTrips() {
        String document = ConfigurationJsonCodec.encode(CONFIGURATION);
        assertThat(ConfigurationJsonCodec.decode(document, 3)).isEqualTo(CONFIGURATION);
        String accounts = ConfigurationJsonCodec.encode(WITH_ACCOUNTS);
        assertThat(ConfigurationJsonCodec.decode(accounts, 4)).isEqualTo(WITH_ACCOUNTS);
    }

    /** Guards against a node that cannot read a document that was published by the last release. */
    @Test
    void documentsWithoutAccountsAreThoseOfEarlierReleases() {
        assertThat(ConfigurationJsonCodec.encode(CONFIGURATION))
                .doesNotContain("accounts", "public_access");
        String route =
                "{'name':'a','host':'h','path_prefix':'/','shares':[{'service':'s','weight':1}],"
                        + "'execution':'IDEMPOTENT','timeout_millis':9,'target_latency_millis':9,"
                        + "'call_class':'default','max_attempts':1}";
        String document =
                "{'services':{},'data_centres':{},'classes':{},'policies':{},'routes':{'a':"
                        + route
                        + "}}";
        Configuration decoded = ConfigurationJsonCodec.decode(document.replace('\'', '"'));
        assertThat(decoded.accounts()).isEmpty();
        assertThat(decoded.routes().get("a").publicAccess()).isFalse();
    }

    /** Guards against hashes that differ between processes because sets are unordered. */
    @Test
    void encodesIdempotentMethodsInSortedOrder() {
        assertThat(ConfigurationJsonCodec.encode(CONFIGURATION))
                .contains("[\"DELETE\",\"GET\",\"HEAD\",\"OPTIONS\",\"PUT\"]");
    }

    /** Guards against an incomplete or invalid document that results in an empty configuration. */
    @Test
    void rejectsIncompleteDocuments() {
        assertThatThrownBy(() -> ConfigurationJsonCodec.decode("{\"services\": {}}"))
                .isInstanceOf(DogwoodwoodException.class);
        assertThatThrownBy(() -> ConfigurationJsonCodec.decode("null"))
                .isInstanceOf(DogwoodwoodException.class);
    }
}
