package org.dogwoodwood.node.control;

/** Where a node learned an order about a data centre; appears in the event log. */
enum OrderOrigin {
    /** A request to the admin port of this node. */
    ADMIN_PORT,
    /** The source of the operators' configurations and orders. */
    OPERATORS,
    /** The stream {@code membership} of the platform log. */
    LOG,
    /** A gossip message of another node. */
    PEER
}
