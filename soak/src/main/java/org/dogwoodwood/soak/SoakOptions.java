package org.dogwoodwood.soak;

/**
 * What a soak plays.
 *
 * @param seed determines the draws of targets, clients and trouble
 * @param seconds how long clients send requests
 * @param targetsPerService the number of VMs, each with a target and a node, of each service
 * @param clientsPerNode the number of clients beside each node
 * @param rejectedPercent how many of 100 requests a target refuses without running them
 * @param copiesForNextAttempt whether copies of answers also wait for the next request with their
 *     id, on whatever connection
 * @param nodeTrouble whether nodes are killed, stopped and paused
 * @param nodeClassPath the class path of the node processes
 */
record SoakOptions(
        long seed,
        int seconds,
        int targetsPerService,
        int clientsPerNode,
        int rejectedPercent,
        boolean copiesForNextAttempt,
        boolean nodeTrouble,
        String nodeClassPath) {

    private static final int CLIENTS_PER_NODE = 4;
    private static final int REJECTED_PERCENT = 8;

    /** Returns the defaults, with nodes that run the classes of this process. */
    static SoakOptions of(long seed, int seconds, int targetsPerService) {
        return new SoakOptions(
                seed,
                seconds,
                targetsPerService,
                CLIENTS_PER_NODE,
                REJECTED_PERCENT,
                false,
                true,
                System.getProperty("java.class.path"));
    }

    SoakOptions withCopiesForNextAttempt(boolean value) {
        return new SoakOptions(
                seed,
                seconds,
                targetsPerService,
                clientsPerNode,
                rejectedPercent,
                value,
                nodeTrouble,
                nodeClassPath);
    }
}
