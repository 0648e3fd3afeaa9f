package org.dogwoodwood.core.configuration;

/** The types of values of configuration keys. */
public enum ValueType {
    WHOLE_NUMBER("a whole number, such as 100"),
    NUMBER("a number, such as 0.5"),
    BOOLEAN("true or false"),
    TEXT("a string in quotes, such as \"coast\""),
    TEXT_LIST("a list of strings, such as [\"coast\", \"valley\"]");

    private final String description;

    ValueType(String description) {
        this.description = description;
    }

    /** Returns a description for operators, with an example. */
    public String description() {
        return description;
    }
}
