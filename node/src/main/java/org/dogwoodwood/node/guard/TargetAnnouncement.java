package org.dogwoodwood.node.guard;

import static org.dogwoodwood.core.Preconditions.checkArgument;

import java.util.Objects;
import java.util.Optional;
import org.dogwoodwood.node.settings.Endpoint;

/**
 * What a target tells about itself, or what the settings tell in its place.
 *
 * @param service the service of the target
 * @param address the HTTP address of the target
 * @param slots calls that it can work on at a time when warm
 * @param connections connections that it accepts
 * @param coldSlots calls that it can work on at a time when cold
 * @param cold whether it is cold
 * @param draining whether it takes no new work
 * @param instance the name of the target's process, different after each start; empty if the target
 *     tells none
 * @param startedAtMillis when the process started, in milliseconds of the target's wall clock;
 *     empty if the target does not tell it
 */
public record TargetAnnouncement(
        String service,
        Endpoint address,
        int slots,
        int connections,
        int coldSlots,
        boolean cold,
        boolean draining,
        Optional<String> instance,
        Optional<Long> startedAtMillis) {

    /** Checks the parts. */
    public TargetAnnouncement {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(instance, "instance");
        Objects.requireNonNull(startedAtMillis, "startedAtMillis");
        checkArgument(!service.isBlank(), "The service of a target must not be blank.");
        checkArgument(slots > 0, "The slots of a target must be at least 1.");
        checkArgument(connections > 0, "The connections of a target must be at least 1.");
        checkArgument(coldSlots > 0, "The cold slots of a target must be at least 1.");
    }

    /** Returns the same announcement of another process of the target. */
    public TargetAnnouncement withInstance(String newInstance) {
        return new TargetAnnouncement(
                service,
                address,
                slots,
                connections,
                coldSlots,
                cold,
                draining,
                Optional.of(newInstance),
                startedAtMillis);
    }

    /** Creates an announcement of a target that does not name its process. */
    public TargetAnnouncement(
            String service,
            Endpoint address,
            int slots,
            int connections,
            int coldSlots,
            boolean cold,
            boolean draining) {
        this(
                service,
                address,
                slots,
                connections,
                coldSlots,
                cold,
                draining,
                Optional.empty(),
                Optional.empty());
    }
}
