package org.dogwoodwood.node.guard;

import java.util.Optional;
import java.util.function.Supplier;
import org.dogwoodwood.core.configuration.ServiceDefinition;
import org.dogwoodwood.core.routing.RoutingTable;

/**
 * Reads the settings of a service from the configuration in force, with defaults for a service that
 * is not configured.
 */
final class ServiceSettings {

    private final Supplier<RoutingTable> routing;

    ServiceSettings(Supplier<RoutingTable> routing) {
        this.routing = routing;
    }

    String healthPath(String service) {
        return find(service)
                .map(ServiceDefinition::healthPath)
                .orElse(ServiceDefinition.DEFAULT_HEALTH_PATH);
    }

    /** Returns the largest answer body that a target of a service may send, in bytes. */
    int maxAnswerBytes(String service) {
        return find(service)
                .map(ServiceDefinition::maxAnswerBytes)
                .orElse(ServiceDefinition.DEFAULT_MAX_ANSWER_BYTES);
    }

    private Optional<ServiceDefinition> find(String service) {
        return Optional.ofNullable(routing.get().configuration().services().get(service));
    }
}
