package org.dogwoodwood.soak;

import java.util.List;

/**
 * What a soak plays.
 *
 * @param seed determines the draws of targets, clients and trouble
 * @param seconds how long clients send requests
 * @param targets the number of VMs, each with a target and a node, by service
 * @param clientsPerNode the number of clients beside each node
 * @param rejectedPercent how many of 100 requests a target refuses without running them
 * @param copiesForNextAttempt whether copies of answers also wait for the next request with their
 *     id, on whatever connection
 * @param troubleGapMillis the mean time between two pieces of trouble; 0 for no trouble
 * @param hangups when processes get SIGHUP
 * @param command the command line of the nodes
 */
record SoakOptions(
        long seed,
        int seconds,
        List<Integer> targets,
        int clientsPerNode,
        int rejectedPercent,
        boolean copiesForNextAttempt,
        int troubleGapMillis,
        HangupPolicy hangups,
        NodeCommand command) {

    private static final List<String> SERVICES = List.of("books", "films", "tours", "maps");
    private static final int CLIENTS_PER_NODE = 4;
    private static final int REJECTED_PERCENT = 8;
    private static final int TROUBLE_GAP_MILLIS = 700;

    SoakOptions {
        if (targets.isEmpty() || targets.size() > SERVICES.size()) {
            throw new IllegalArgumentException(
                    "Give the targets of 1 to " + SERVICES.size() + " services.");
        }
        targets = List.copyOf(targets);
    }

    /** Returns the defaults, with nodes that run the classes of this process. */
    static SoakOptions of(long seed, int seconds, List<Integer> targets) {
        return new SoakOptions(
                seed,
                seconds,
                targets,
                CLIENTS_PER_NODE,
                REJECTED_PERCENT,
                false,
                TROUBLE_GAP_MILLIS,
                HangupPolicy.FROM_READINESS_PORT,
                NodeCommand.ofThisBuild());
    }

    /** Returns the names of the services. */
    List<String> services() {
        return SERVICES.subList(0, targets.size());
    }

    SoakOptions withCopiesForNextAttempt(boolean value) {
        return new SoakOptions(
                seed,
                seconds,
                targets,
                clientsPerNode,
                rejectedPercent,
                value,
                troubleGapMillis,
                hangups,
                command);
    }

    SoakOptions withTroubleGapMillis(int value) {
        return new SoakOptions(
                seed,
                seconds,
                targets,
                clientsPerNode,
                rejectedPercent,
                copiesForNextAttempt,
                value,
                hangups,
                command);
    }
}
