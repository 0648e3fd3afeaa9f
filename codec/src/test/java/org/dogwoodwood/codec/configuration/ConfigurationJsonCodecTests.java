package org.dogwoodwood.codec.configuration;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import java.util.Map;
import org.dogwoodwood.core.DogwoodwoodException;
import org.dogwoodwood.core.configuration.CallClassDefinition;
import org.dogwoodwood.core.configuration.Configuration;
import org.dogwoodwood.core.configuration.DataCentreDefinition;
import org.dogwoodwood.core.configuration.PolicyDefinition;
import org.dogwoodwood.core.configuration.ServiceDefinition;
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

    /** Guards against a field that is lost or renamed between the publisher and a node. */
    @Test
    void everyFieldRoundTrips() {
        String document = ConfigurationJsonCodec.encode(CONFIGURATION);
        assertThat(ConfigurationJsonCodec.decode(document, 3)).isEqualTo(CONFIGURATION);
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
