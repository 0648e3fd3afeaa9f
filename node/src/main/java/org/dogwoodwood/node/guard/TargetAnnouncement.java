package org.dogwoodwood.node.guard;

import static org.dogwoodwood.core.Preconditions.checkArgument;

import java.util.Objects;
import java.util.Optional;
import org.dogwoodwood.core.membership.MemberTarget;
import org.dogwoodwood.core.model.TargetState;
import org.dogwoodwood.node.settings.Endpoint;
import org.dogwoodwood.node.settings.TargetSettings;

/**
 * What a target announces about itself, or what the settings announce in its place.
 *
 * @param service the service of the target
 * @param address the HTTP address of the target
 * @param slots the number of calls that it can run concurrently when warm
 * @param connections the number of connections that it accepts
 * @param coldSlots the number of calls that it can run concurrently when cold
 * @param cold whether it is cold
 * @param draining whether it accepts no new work
 * @param instance the name of the target's process, different after each start; empty if the target
 *     reports none
 * @param startedAtMillis when the process started, in milliseconds of the target's wall clock;
 *     empty if the target does not report it
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

    /**
     * Checks that the references are present, the service is not blank, and counts are positive.
     */
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

    /** Creates an announcement without the name and start time of the target's process. */
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

    /** Returns the announcement of the same target as one that accepts no new work. */
    public TargetAnnouncement asDraining() {
        return new TargetAnnouncement(
                service,
                address,
                slots,
                connections,
                coldSlots,
                cold,
                true,
                instance,
                startedAtMillis);
    }

    /** Returns the entry of the target in the membership. */
    MemberTarget toMemberTarget(TargetState state, int stateVersion) {
        return new MemberTarget(service, slots, connections, state, stateVersion);
    }

    /** Returns the announcement of a target that is configured in the settings, as cold. */
    public static TargetAnnouncement of(TargetSettings target) {
        return new TargetAnnouncement(
                target.service(),
                target.address(),
                target.slots(),
                target.connections(),
                target.coldSlots(),
                true,
                false);
    }

    /** Returns whether another process than that of an earlier announcement announced this one. */
    boolean isOtherProcessThan(TargetAnnouncement earlier) {
        return earlier.isOtherProcess(instance) || differ(startedAtMillis, earlier.startedAtMillis);
    }

    /** Returns whether a name is known to be that of another process. */
    boolean isOtherProcess(Optional<String> name) {
        return differ(name, instance);
    }

    private static <T> boolean differ(Optional<T> one, Optional<T> other) {
        return one.isPresent() && other.isPresent() && !one.equals(other);
    }
}
