package org.dogwoodwood.codec.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.core.configuration.ConfigurationKey;
import org.dogwoodwood.core.configuration.ObjectKind;
import org.dogwoodwood.core.configuration.ValueRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against keys that the reference page of the configuration omits or misdescribes. */
class ConfigurationReferenceTests {

    private static final ObjectMapper JSON = new ObjectMapper();

    // Components whose key in a file has another name: a digest is not a key, and "public" is
    // reserved in Java.
    private static final Map<String, String> LABEL_OF_COMPONENT =
            Map.of("keys", "key_digests", "public_access", "public");

    @ParameterizedTest
    @EnumSource(ConfigurationKey.class)
    void pageDescribesEveryKey(ConfigurationKey key) throws IOException {
        String row =
                String.join(
                        " | ",
                        "| `" + key.label() + "`",
                        key.type().name().toLowerCase(Locale.ROOT).replace('_', ' '),
                        key.unit(),
                        defaultOf(key),
                        key.range().map(ValueRange::description).orElse(""),
                        "");

        assertThat(page()).contains(row);
    }

    @ParameterizedTest
    @EnumSource(ObjectKind.class)
    void everyRecordComponentHasAKey(ObjectKind kind) {
        List<String> components =
                Arrays.stream(kind.type().getRecordComponents())
                        .map(component -> snakeCase(component.getName()))
                        .filter(name -> !name.equals("name"))
                        .map(name -> LABEL_OF_COMPONENT.getOrDefault(name, name))
                        .toList();

        assertThat(kind.keys()).extracting(ConfigurationKey::label).isEqualTo(components);
    }

    @Test
    void pageListsEveryConfigurationError() throws IOException {
        for (ErrorCode code : ErrorCode.values()) {
            if (code.number() / 100 == 40) {
                assertThat(page()).contains("| " + code.number() + " |");
            }
        }
    }

    @Test
    void examplesAreValid() throws IOException {
        try (var directories = Files.list(Path.of("../examples"))) {
            assertThat(directories.toList())
                    .isNotEmpty()
                    .allSatisfy(
                            directory ->
                                    assertThat(
                                                    ConfigurationReader.create()
                                                            .read(directory)
                                                            .problems())
                                            .isEmpty());
        }
    }

    private static String defaultOf(ConfigurationKey key) throws IOException {
        if (key.defaultValue().isEmpty()) {
            return "required";
        }
        String json = JSON.writeValueAsString(key.defaultValue().get());
        return "`" + json.replace(",", ", ") + "`";
    }

    private static String snakeCase(String name) {
        return PropertyNamingStrategies.SnakeCaseStrategy.INSTANCE.translate(name);
    }

    private static String page() throws IOException {
        return Files.readString(Path.of("../docs/configuration.md"));
    }
}
