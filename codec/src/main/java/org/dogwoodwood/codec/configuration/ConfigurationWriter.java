package org.dogwoodwood.codec.configuration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import org.dogwoodwood.core.configuration.Configuration;
import org.dogwoodwood.core.configuration.ConfigurationKey;
import org.dogwoodwood.core.configuration.ConfigurationObject;
import org.dogwoodwood.core.configuration.ObjectKind;

/** Writes a configuration as TOML that operators can edit, including default values. */
public final class ConfigurationWriter {

    private static final TomlMapper MAPPER = new TomlMapper();

    private ConfigurationWriter() {}

    /** Returns the content of one TOML file with all objects of a configuration. */
    public static String write(Configuration configuration) {
        StringBuilder text = new StringBuilder();
        for (ObjectKind kind : ObjectKind.values()) {
            new TreeMap<>(configuration.objectsOf(kind))
                    .values()
                    .forEach(object -> append(kind, object, text));
        }
        return text.toString();
    }

    private static void append(ObjectKind kind, ConfigurationObject object, StringBuilder text) {
        Map<String, Object> values = new LinkedHashMap<>();
        for (ConfigurationKey key : kind.keys()) {
            values.put(key.label(), key.valueOf(object));
        }
        text.append(text.isEmpty() ? "" : "\n")
                .append('[')
                .append(kind.qualify(object.name()))
                .append("]\n");
        try {
            text.append(MAPPER.writeValueAsString(values));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("The object cannot be encoded as TOML.", e);
        }
    }
}
