package org.dogwoodwood.benchmarks.simulation;

import java.util.ArrayList;
import java.util.List;

/**
 * A set of services and the data centres in which they run.
 *
 * @param name the name
 * @param dataCentres the number of data centres
 * @param dataCentreDelayNanos the one-way delay between data centres, in nanoseconds
 * @param targetsByService the number of targets of each service
 * @param slots the number of calls that a target can run concurrently
 * @param model how noisy neighbours and load affect the targets
 * @param times the mean demand, latency objective and timeout of calls
 */
public record Workload(
        String name,
        int dataCentres,
        long dataCentreDelayNanos,
        List<Integer> targetsByService,
        int slots,
        TargetModel model,
        CallTimes times) {

    public static final Workload GUIDES = ofShortCalls("guides", 4, 500_000, List.of(4, 4, 4), 18);
    public static final Workload ASSOCIATION =
            ofShortCalls("association", 3, 1_500_000, List.of(4, 3, 3), 6);

    /** Long calls to many small targets with long slow phases, sent by more nodes. */
    public static final Workload LONG_PHASES =
            new Workload(
                    "long-phases",
                    4,
                    1_400_000,
                    List.of(34, 26, 14),
                    4,
                    TargetModel.SPEED_FIXED_AT_START,
                    CallTimes.LONG);

    /** The one-way delay between a caller and its ingress, in nanoseconds. */
    public static final long CALLER_DELAY_NANOS = 3_000_000;

    /** The one-way delay between nodes of one data centre, in nanoseconds. */
    public static final long LOCAL_DELAY_NANOS = 50_000;

    /** The time to open a connection, in nanoseconds. */
    public static final long CONNECT_NANOS = 1_000_000;

    /**
     * A node and the target beside it.
     *
     * @param index the index among all nodes
     * @param service the index of the service
     * @param dataCentre the index of the data centre
     */
    public record Node(int index, int service, int dataCentre) {}

    private static Workload ofShortCalls(
            String name,
            int dataCentres,
            long dataCentreDelayNanos,
            List<Integer> targetsByService,
            int slots) {
        return new Workload(
                name,
                dataCentres,
                dataCentreDelayNanos,
                targetsByService,
                slots,
                TargetModel.VARYING_SPEED,
                CallTimes.SHORT);
    }

    /**
     * Returns all nodes; the targets of each service are assigned to the data centres round-robin.
     */
    public List<Node> nodes() {
        List<Node> nodes = new ArrayList<>();
        for (int service = 0; service < targetsByService.size(); service++) {
            for (int target = 0; target < targetsByService.get(service); target++) {
                nodes.add(new Node(nodes.size(), service, target % dataCentres));
            }
        }
        return nodes;
    }

    /** Returns the one-way delay between two nodes, in nanoseconds. */
    public long delayNanos(Node from, Node to) {
        if (from.index() == to.index()) {
            return 0;
        }
        boolean sameDataCentre = from.dataCentre() == to.dataCentre();
        return sameDataCentre ? LOCAL_DELAY_NANOS : dataCentreDelayNanos;
    }
}
