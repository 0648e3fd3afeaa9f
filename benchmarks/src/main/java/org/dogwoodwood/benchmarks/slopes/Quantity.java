package org.dogwoodwood.benchmarks.slopes;

import java.util.Locale;

/** The measured quantities, each with the role that bears the cost and a description. */
public enum Quantity {
    MEMBERSHIP_HEAP(Role.MEMBERSHIP, "heap of the membership table"),
    REGISTRATIONS_HEAP(Role.GUARD, "heap of the registered members of all services"),
    MEMBERSHIP_TICK(Role.MEMBERSHIP, "one tick of failure detection"),
    MEMBER_MERGE(Role.MEMBERSHIP, "taking in one changed member"),
    ROUTES_HEAP(Role.INGRESS, "heap of the routing table"),
    ROUTES_BUILD(Role.INGRESS, "building the routing table"),
    GOSSIP_QUIET_BYTES(Role.MEMBERSHIP, "one gossip message, nothing new"),
    GOSSIP_BUSY_BYTES(Role.MEMBERSHIP, "one gossip message, many updates"),
    GOSSIP_EXCHANGE(Role.MEMBERSHIP, "one gossip exchange, both ends"),
    ANNOUNCEMENT_BYTES(Role.ANNOUNCER, "one announcement in the log"),
    LOG_REPLAY(Role.LOG, "replaying all announcements"),
    CONFIGURATION_HEAP(Role.CONFIGURATION, "heap of the configuration"),
    CONFIGURATION_BYTES(Role.CONFIGURATION, "one configuration document"),
    CONFIGURATION_DECODE(Role.CONFIGURATION, "decoding a configuration document"),
    CONFIGURATION_ENCODE(Role.OPERATOR_TOOL, "encoding a configuration document"),
    CHOICE(Role.INGRESS, "choosing a target"),
    ADMISSION(Role.GUARD, "admitting and ending a call"),
    CALL_FRAME_BYTES(Role.INGRESS, "a call and its answer on the wire, without bodies"),
    CALL_CODEC(Role.INGRESS, "encoding and decoding a call and its answer"),
    KEPT_CALL_HEAP(Role.GUARD, "heap of the answers kept for resume");

    private final Role role;
    private final String description;

    Quantity(Role role, String description) {
        this.role = role;
        this.description = description;
    }

    /** The part of the system that bears the cost of a quantity. */
    public enum Role {
        INGRESS,
        GUARD,
        ANNOUNCER,
        MEMBERSHIP,
        CONFIGURATION,
        OPERATOR_TOOL,
        LOG
    }

    /** Returns the role that bears the cost of the quantity. */
    public Role role() {
        return role;
    }

    /** Returns the description of the quantity in the report. */
    public String description() {
        return description;
    }

    /** Returns the name of the quantity in the CSV file. */
    public String csvName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
