package org.dogwoodwood.core.configuration;

import java.util.Optional;

/**
 * The share of a route's calls that one service receives.
 *
 * @param service the name of the service
 * @param weight the weight relative to the route's other services, at least 0
 */
public record ServiceShare(String service, int weight) {

    private static final int DEFAULT_WEIGHT = 100;

    /**
     * Parses a share such as {@code outings=90} or {@code outings}; returns empty if the text is
     * malformed.
     */
    public static Optional<ServiceShare> parse(String text) {
        int equals = text.indexOf('=');
        if (equals < 0) {
            return text.isBlank()
                    ? Optional.empty()
                    : Optional.of(new ServiceShare(text, DEFAULT_WEIGHT));
        }
        try {
            int weight = Integer.parseInt(text.substring(equals + 1).trim());
            String service = text.substring(0, equals).trim();
            return weight < 0 || service.isEmpty()
                    ? Optional.empty()
                    : Optional.of(new ServiceShare(service, weight));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    @Override
    public String toString() {
        return service + "=" + weight;
    }
}
