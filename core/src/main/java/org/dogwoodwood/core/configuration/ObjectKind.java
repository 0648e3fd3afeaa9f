package org.dogwoodwood.core.configuration;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/** The kinds of configuration object. */
public enum ObjectKind {
    SERVICE("service", ServiceDefinition.class),
    DATA_CENTRE("data-centre", DataCentreDefinition.class),
    CALL_CLASS("class", CallClassDefinition.class),
    POLICY("policy", PolicyDefinition.class),
    ROUTE("route", RouteDefinition.class),
    ACCOUNT("account", AccountDefinition.class);

    private final String label;
    private final Class<? extends ConfigurationObject> type;

    ObjectKind(String label, Class<? extends ConfigurationObject> type) {
        this.label = label;
        this.type = type;
    }

    /** Returns the kind of an object. */
    static ObjectKind of(ConfigurationObject object) {
        return Arrays.stream(values())
                .filter(kind -> kind.type.isInstance(object))
                .findFirst()
                .orElseThrow(
                        () ->
                                new IllegalArgumentException(
                                        "No ObjectKind is defined for the class of the object."));
    }

    /** Returns the kind whose table in a file has the given name, or empty if there is none. */
    public static Optional<ObjectKind> fromLabel(String label) {
        return Arrays.stream(values()).filter(kind -> kind.label.equals(label)).findFirst();
    }

    /** Returns the name of the kind's table in a file. */
    public String label() {
        return label;
    }

    /** Returns the record class of objects of this kind. */
    public Class<? extends ConfigurationObject> type() {
        return type;
    }

    /**
     * Returns the name of an object of this kind in messages, for example {@code service.outings}.
     */
    public String qualify(String name) {
        return label + "." + name;
    }

    /** Returns the keys of objects of this kind, in the order in which they are written. */
    public List<ConfigurationKey> keys() {
        return Arrays.stream(ConfigurationKey.values()).filter(key -> key.kind() == this).toList();
    }
}
