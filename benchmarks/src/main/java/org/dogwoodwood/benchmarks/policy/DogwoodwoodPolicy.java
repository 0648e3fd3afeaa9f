package org.dogwoodwood.benchmarks.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.dogwoodwood.benchmarks.simulation.CallTimes;
import org.dogwoodwood.benchmarks.simulation.SimulatedCall;
import org.dogwoodwood.benchmarks.simulation.Workload;
import org.dogwoodwood.benchmarks.simulation.World;
import org.dogwoodwood.core.balancing.Candidate;
import org.dogwoodwood.core.configuration.PolicyDefinition;
import org.dogwoodwood.core.model.LoadReport;
import org.dogwoodwood.core.model.NodeId;

/** This project's policy: an ingress and a guard on every node. */
public final class DogwoodwoodPolicy implements World.Arrivals {

    /** Gossip carries an order to every node of a region within this time. */
    private static final int ORDER_SPREAD_NANOS = 500_000_000;

    /** How long a target that has returned stays cold. */
    private static final long COLD_NANOS = 500_000_000;

    private static final long NANOS_PER_MILLI = 1_000_000;

    // The policy that the adapter of the platform gives to services with long calls.
    private static final double LONG_RETRY_SHARE = 0.15;
    private static final int LONG_QUEUE_LIMIT_MILLIS = 400;
    private static final int LONG_DATA_CENTRE_COST_MILLIS = 40;

    private final World world;
    private final SplittableRandom random;
    private final List<NodeId> nodeIds = new ArrayList<>();
    private final Map<NodeId, Integer> indexByNode = new HashMap<>();
    private final List<SimulatedGuard> guards = new ArrayList<>();
    private final List<List<SimulatedIngress>> ingresses = new ArrayList<>();
    private final PolicyDefinition definition;

    private DogwoodwoodPolicy(World world, long seed) {
        this.world = world;
        this.definition = definitionFor(world.scenario().workload());
        this.random = new SplittableRandom(seed);
    }

    /** Returns the policy at work in a world. */
    public static DogwoodwoodPolicy create(World world, long seed) {
        DogwoodwoodPolicy policy = new DogwoodwoodPolicy(world, seed);
        for (Workload.Place place : world.places()) {
            NodeId id = NodeId.of("node-" + place.index());
            policy.nodeIds.add(id);
            policy.indexByNode.put(id, place.index());
            policy.guards.add(
                    new SimulatedGuard(world, id, world.target(place.index()), policy.definition));
        }
        for (Workload.Place place : world.places()) {
            policy.ingresses.add(policy.createIngress(place));
        }
        for (Workload.Place place : world.places()) {
            SimulatedGuard guard = policy.guards.get(place.index());
            guard.setSpeedListener(() -> policy.pushReport(place));
        }
        return policy;
    }

    @Override
    public void onArrival(SimulatedCall call) {
        ingresses.get(call.ingress()).get(call.service()).accept(call);
    }

    /** Spreads the order that takes a data centre out or returns it. */
    public void orderDataCentre(int dataCentre, boolean out) {
        for (Workload.Place place : world.places()) {
            long delay = random.nextInt(ORDER_SPREAD_NANOS);
            world.events().after(delay, () -> apply(place, dataCentre, out));
        }
    }

    /** Sends the load of a target to the nodes that have called it shortly before. */
    private void pushReport(Workload.Place from) {
        LoadReport report = guard(from.index()).report();
        for (int index : guard(from.index()).recentIngresses()) {
            world.send(
                    from.index(),
                    index,
                    () -> ingresses.get(index).get(from.service()).onReport(report));
        }
    }

    NodeId nodeId(int index) {
        return nodeIds.get(index);
    }

    int indexOf(NodeId node) {
        return indexByNode.get(node);
    }

    SimulatedGuard guard(int index) {
        return guards.get(index);
    }

    private List<SimulatedIngress> createIngress(Workload.Place place) {
        List<SimulatedIngress> byService = new ArrayList<>();
        int services = world.scenario().workload().targetsByService().size();
        for (int service = 0; service < services; service++) {
            byService.add(
                    new SimulatedIngress(
                            this,
                            world,
                            place.index(),
                            definition,
                            candidates(place, service, -1),
                            random.split()));
        }
        return byService;
    }

    private void apply(Workload.Place place, int dataCentre, boolean out) {
        List<SimulatedIngress> byService = ingresses.get(place.index());
        for (int service = 0; service < byService.size(); service++) {
            byService.get(service).setCandidates(candidates(place, service, out ? dataCentre : -1));
        }
        if (place.dataCentre() == dataCentre) {
            guards.get(place.index()).setOut(out);
            if (!out) {
                world.target(place.index()).setCold(true);
                world.events().after(COLD_NANOS, () -> world.target(place.index()).setCold(false));
            }
        }
    }

    private long dataCentreCostNanos(Workload.Place from, Workload.Place to) {
        boolean near = from.dataCentre() == to.dataCentre();
        return near ? 0 : definition.dataCentreCostMillis() * NANOS_PER_MILLI;
    }

    private static PolicyDefinition definitionFor(Workload workload) {
        PolicyDefinition defaults = PolicyDefinition.withDefaults("default");
        return workload.times().equals(CallTimes.LONG)
                ? new PolicyDefinition(
                        defaults.name(),
                        LONG_RETRY_SHARE,
                        defaults.hedgeQuantile(),
                        LONG_QUEUE_LIMIT_MILLIS,
                        Integer.MAX_VALUE,
                        defaults.ejectionShare(),
                        defaults.crashLimit(),
                        defaults.crashHoldSeconds(),
                        defaults.coldCallsPerSecond(),
                        LONG_DATA_CENTRE_COST_MILLIS)
                : defaults;
    }

    private List<Candidate> candidates(Workload.Place from, int service, int dataCentreOut) {
        List<Candidate> candidates = new ArrayList<>();
        for (Workload.Place place : world.places()) {
            if (place.service() == service && place.dataCentre() != dataCentreOut) {
                long roundTrip = 2 * world.distanceNanos(from.index(), place.index());
                long cost = roundTrip + dataCentreCostNanos(from, place);
                String dataCentre = "data-centre-" + place.dataCentre();
                candidates.add(new Candidate(nodeId(place.index()), 1, dataCentre, cost, false));
            }
        }
        return List.copyOf(candidates);
    }
}
