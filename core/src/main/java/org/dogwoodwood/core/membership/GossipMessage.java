package org.dogwoodwood.core.membership;

import java.util.List;
import java.util.Objects;
import org.dogwoodwood.core.model.FreeCapacity;

/**
 * The content of one message of a gossip exchange.
 *
 * @param sender the sender's own entry
 * @param digest hashes of a part of the sender's membership table
 * @param ordersHash a hash of the sender's data centre orders
 * @param configurationVersion the configuration version in force at the sender
 * @param configurationHash a hash of that version's document
 * @param members changed entries
 * @param livenessUpdates observed liveness of members
 * @param orders data centre orders
 * @param crashReports observations about requests that may crash targets
 * @param leaves acknowledged leaves of targets
 * @param capacities estimates of the free capacity of services
 */
public record GossipMessage(
        Member sender,
        TableDigest digest,
        long ordersHash,
        long configurationVersion,
        long configurationHash,
        List<Member> members,
        List<LivenessUpdate> livenessUpdates,
        List<DataCentreOrder> orders,
        List<CrashReport> crashReports,
        List<KnownLeave> leaves,
        List<FreeCapacity> capacities) {

    /** Checks that the references are present and copies the lists. */
    public GossipMessage {
        Objects.requireNonNull(sender, "sender");
        Objects.requireNonNull(digest, "digest");
        members = List.copyOf(members);
        livenessUpdates = List.copyOf(livenessUpdates);
        orders = List.copyOf(orders);
        crashReports = List.copyOf(crashReports);
        leaves = List.copyOf(leaves);
        capacities = List.copyOf(capacities);
    }

    /** Creates a message without estimates of free capacity. */
    public GossipMessage(
            Member sender,
            TableDigest digest,
            long ordersHash,
            long configurationVersion,
            long configurationHash,
            List<Member> members,
            List<LivenessUpdate> livenessUpdates,
            List<DataCentreOrder> orders,
            List<CrashReport> crashReports,
            List<KnownLeave> leaves) {
        this(
                sender,
                digest,
                ordersHash,
                configurationVersion,
                configurationHash,
                members,
                livenessUpdates,
                orders,
                crashReports,
                leaves,
                List.of());
    }

    /** Returns this message with the given estimates of free capacity. */
    public GossipMessage withCapacities(List<FreeCapacity> newCapacities) {
        return new GossipMessage(
                sender,
                digest,
                ordersHash,
                configurationVersion,
                configurationHash,
                members,
                livenessUpdates,
                orders,
                crashReports,
                leaves,
                newCapacities);
    }
}
