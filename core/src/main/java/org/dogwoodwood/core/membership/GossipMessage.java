package org.dogwoodwood.core.membership;

import java.util.List;
import java.util.Objects;

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
        List<CrashReport> crashReports) {

    /** Checks that the references are present and copies the lists. */
    public GossipMessage {
        Objects.requireNonNull(sender, "sender");
        Objects.requireNonNull(digest, "digest");
        members = List.copyOf(members);
        livenessUpdates = List.copyOf(livenessUpdates);
        orders = List.copyOf(orders);
        crashReports = List.copyOf(crashReports);
    }
}
