package org.dogwoodwood.benchmarks.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.dogwoodwood.benchmarks.simulation.CallTimes;
import org.dogwoodwood.benchmarks.simulation.SimulatedCall;
import org.dogwoodwood.benchmarks.simulation.Simulation;
import org.dogwoodwood.benchmarks.simulation.Workload;
import org.dogwoodwood.core.balancing.Candidate;
import org.dogwoodwood.core.configuration.PolicyDefinition;
import org.dogwoodwood.core.model.LoadReport;
import org.dogwoodwood.core.model.NodeId;

/** The policy of this project: every node runs an ingress and a guard. */
public final class DogwoodwoodPolicy implements Simulation.ArrivalHandler {

    /** The upper bound of the time in which gossip carries an order to every node of a region. */
    private static final int MAX_ORDER_DELAY_NANOS = 500_000_000;

    /** How long a target stays cold after its data centre has returned. */
    private static final long COLD_DURATION_NANOS = 500_000_000;

    private static final long NANOS_PER_MILLI = 1_000_000;

    // The policy that the platform's adapter configures for services with long calls.
    private static final double LONG_RETRY_SHARE = 0.15;
    private static final int LONG_QUEUE_LIMIT_MILLIS = 400;
    private static final int LONG_DATA_CENTRE_COST_MILLIS = 40;

    private final Simulation simulation;
    private final SplittableRandom random;
    private final List<NodeId> nodeIds = new ArrayList<>();
    private final Map<NodeId, Integer> indexByNode = new HashMap<>();
    private final List<SimulatedGuard> guards = new ArrayList<>();
    private final List<List<SimulatedIngress>> ingresses = new ArrayList<>();
    private final PolicyDefinition definition;

    private DogwoodwoodPolicy(Simulation simulation, long seed) {
        this.simulation = simulation;
        this.definition = definitionFor(simulation.scenario().workload());
        this.random = new SplittableRandom(seed);
    }

    /**
     * Creates the policy and the ingress and guard of every node of a simulation.
     *
     * @param simulation the simulation
     * @param seed the seed of all random choices
     */
    public static DogwoodwoodPolicy create(Simulation simulation, long seed) {
        DogwoodwoodPolicy policy = new DogwoodwoodPolicy(simulation, seed);
        for (Workload.Node node : simulation.nodes()) {
            NodeId id = NodeId.of("node-" + node.index());
            policy.nodeIds.add(id);
            policy.indexByNode.put(id, node.index());
            policy.guards.add(
                    new SimulatedGuard(
                            simulation, id, simulation.target(node.index()), policy.definition));
        }
        for (Workload.Node node : simulation.nodes()) {
            policy.ingresses.add(policy.createIngresses(node));
        }
        for (Workload.Node node : simulation.nodes()) {
            SimulatedGuard guard = policy.guards.get(node.index());
            guard.setSpeedListener(() -> policy.pushReport(node));
        }
        return policy;
    }

    @Override
    public void onArrival(SimulatedCall call) {
        ingresses.get(call.ingress()).get(call.service()).accept(call);
    }

    /**
     * Propagates an order that takes a data centre out or returns it, with a random delay per node.
     */
    public void propagateDataCentreOrder(int dataCentre, boolean out) {
        for (Workload.Node node : simulation.nodes()) {
            long delay = random.nextInt(MAX_ORDER_DELAY_NANOS);
            simulation.events().scheduleAfter(delay, () -> applyOrder(node, dataCentre, out));
        }
    }

    /** Sends the load report of a target to the ingress nodes that have called it recently. */
    private void pushReport(Workload.Node from) {
        LoadReport report = guard(from.index()).report();
        for (int index : guard(from.index()).recentIngresses()) {
            simulation.send(
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

    private List<SimulatedIngress> createIngresses(Workload.Node node) {
        List<SimulatedIngress> ingressesByService = new ArrayList<>();
        int services = simulation.scenario().workload().targetsByService().size();
        for (int service = 0; service < services; service++) {
            ingressesByService.add(
                    new SimulatedIngress(
                            this,
                            simulation,
                            node.index(),
                            definition,
                            candidates(node, service, -1),
                            random.split()));
        }
        return ingressesByService;
    }

    private void applyOrder(Workload.Node node, int dataCentre, boolean out) {
        List<SimulatedIngress> ingressesByService = ingresses.get(node.index());
        for (int service = 0; service < ingressesByService.size(); service++) {
            ingressesByService
                    .get(service)
                    .setCandidates(candidates(node, service, out ? dataCentre : -1));
        }
        if (node.dataCentre() == dataCentre) {
            guards.get(node.index()).setDataCentreOut(out);
            if (!out) {
                simulation.target(node.index()).setCold(true);
                simulation
                        .events()
                        .scheduleAfter(
                                COLD_DURATION_NANOS,
                                () -> simulation.target(node.index()).setCold(false));
            }
        }
    }

    private long dataCentreCostNanos(Workload.Node from, Workload.Node to) {
        boolean sameDataCentre = from.dataCentre() == to.dataCentre();
        return sameDataCentre ? 0 : definition.dataCentreCostMillis() * NANOS_PER_MILLI;
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

    private List<Candidate> candidates(Workload.Node from, int service, int dataCentreOut) {
        List<Candidate> candidates = new ArrayList<>();
        for (Workload.Node node : simulation.nodes()) {
            if (node.service() == service && node.dataCentre() != dataCentreOut) {
                long roundTrip = 2 * simulation.delayNanos(from.index(), node.index());
                long cost = roundTrip + dataCentreCostNanos(from, node);
                String dataCentre = "data-centre-" + node.dataCentre();
                candidates.add(new Candidate(nodeId(node.index()), 1, dataCentre, cost, false));
            }
        }
        return List.copyOf(candidates);
    }
}
