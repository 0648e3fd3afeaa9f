package org.dogwoodwood.core.model;

import java.util.Objects;

/**
 * One HTTP header field.
 *
 * @param name the field name
 * @param value the field value
 */
public record HeaderField(String name, String value) {

    /** Checks that both parts are not null. */
    public HeaderField {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(value, "value");
    }

    /** Returns a header field with the given name and value. */
    public static HeaderField of(String name, String value) {
        return new HeaderField(name, value);
    }
}
