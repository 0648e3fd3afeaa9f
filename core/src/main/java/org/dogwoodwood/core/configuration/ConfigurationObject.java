package org.dogwoodwood.core.configuration;

/** A named object of the configuration. */
public sealed interface ConfigurationObject
        permits ServiceDefinition,
                DataCentreDefinition,
                CallClassDefinition,
                PolicyDefinition,
                RouteDefinition,
                AccountDefinition {

    /** Returns the name, unique among the objects of its kind. */
    String name();

    /** Returns the kind of this object. */
    default ObjectKind kind() {
        return ObjectKind.of(this);
    }
}
