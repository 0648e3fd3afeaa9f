package org.dogwoodwood.node.guard;

import java.util.Optional;
import java.util.function.Supplier;
import org.dogwoodwood.core.configuration.ServiceDefinition;
import org.dogwoodwood.core.routing.RoutingTable;

/** What the configuration in force says of a service, with defaults for one that it lacks. */
final class ServiceFigures {

    private final Supplier<RoutingTable> routing;

    ServiceFigures(Supplier<RoutingTable> routing) {
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
