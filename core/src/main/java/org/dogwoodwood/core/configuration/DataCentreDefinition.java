package org.dogwoodwood.core.configuration;

/**
 * A data centre.
 *
 * @param name the name
 * @param region the region in which it is located
 */
public record DataCentreDefinition(String name, String region) implements ConfigurationObject {}
