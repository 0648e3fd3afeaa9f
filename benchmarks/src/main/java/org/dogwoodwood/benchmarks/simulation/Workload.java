package org.dogwoodwood.benchmarks.simulation;

import java.util.ArrayList;
import java.util.List;

/**
 * A set of services and the data centres that they run in.
 *
 * @param name the name
 * @param dataCentres the number of data centres
 * @param dataCentreDistanceNanos the one-way delay between data centres, in nanoseconds
 * @param targetsByService the number of targets of each service
 * @param slots the calls that a target works on at a time
 * @param model how targets and their neighbours behave
 * @param times how long calls take and their callers wait
 */
public record Workload(
        String name,
        int dataCentres,
        long dataCentreDistanceNanos,
        List<Integer> targetsByService,
        int slots,
        TargetModel model,
        CallTimes times) {

    public static final Workload GUIDES = ofShortCalls("guides", 4, 500_000, List.of(4, 4, 4), 18);
    public static final Workload ASSOCIATION =
            ofShortCalls("association", 3, 1_500_000, List.of(4, 3, 3), 6);

    /** Many small targets with long calls and long slow phases, called from more nodes. */
    public static final Workload LONG_PHASES =
            new Workload(
                    "long-phases",
                    4,
                    1_400_000,
                    List.of(34, 26, 14),
                    4,
                    TargetModel.SPEED_AT_START,
                    CallTimes.LONG);

    /** The one-way delay between a caller and its ingress, in nanoseconds. */
    public static final long CALLER_DISTANCE_NANOS = 3_000_000;

    /** The one-way delay between nodes of one data centre, in nanoseconds. */
    public static final long LOCAL_DISTANCE_NANOS = 50_000;

    public static final long CONNECT_NANOS = 1_000_000;

    /**
     * One node and the target beside it.
     *
     * @param index the position among all nodes
     * @param service the index of the service
     * @param dataCentre the index of the data centre
     */
    public record Place(int index, int service, int dataCentre) {}

    private static Workload ofShortCalls(
            String name,
            int dataCentres,
            long dataCentreDistanceNanos,
            List<Integer> targetsByService,
            int slots) {
        return new Workload(
                name,
                dataCentres,
                dataCentreDistanceNanos,
                targetsByService,
                slots,
                TargetModel.SHARED_SPEED,
                CallTimes.SHORT);
    }

    /** Returns all nodes; the targets of a service are spread over the data centres in turn. */
    public List<Place> places() {
        List<Place> places = new ArrayList<>();
        for (int service = 0; service < targetsByService.size(); service++) {
            for (int target = 0; target < targetsByService.get(service); target++) {
                places.add(new Place(places.size(), service, target % dataCentres));
            }
        }
        return places;
    }

    /** Returns the one-way delay between two nodes, in nanoseconds. */
    public long distanceNanos(Place from, Place to) {
        if (from.index() == to.index()) {
            return 0;
        }
        boolean near = from.dataCentre() == to.dataCentre();
        return near ? LOCAL_DISTANCE_NANOS : dataCentreDistanceNanos;
    }
}
