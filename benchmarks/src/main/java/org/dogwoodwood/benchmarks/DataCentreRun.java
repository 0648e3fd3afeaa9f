package org.dogwoodwood.benchmarks;

import org.dogwoodwood.benchmarks.policy.DogwoodwoodPolicy;
import org.dogwoodwood.benchmarks.report.Row;
import org.dogwoodwood.benchmarks.simulation.Scenario;
import org.dogwoodwood.benchmarks.simulation.ServiceTimes;
import org.dogwoodwood.benchmarks.simulation.Simulation;
import org.dogwoodwood.benchmarks.simulation.Workload;

/**
 * Measures calls while the last data centre of a workload is taken out and returned and, for
 * comparison, while it is out for the whole run.
 */
public final class DataCentreRun {

    /** The offered load; the remaining data centres are used at up to 75 %. */
    private static final double LOAD = 0.5;

    private static final int SECONDS = 9;
    private static final long LEAVE_NANOS = 2_000_000_000L;
    private static final long RETURN_NANOS = 6_000_000_000L;
    private static final long END_NANOS = 9_000_000_000L;

    private DataCentreRun() {}

    /** Measures from the time at which the data centre is taken out until after its return. */
    public static Row leaveAndReturn(Workload workload, long seed) {
        Simulation simulation = createSimulation(workload, seed);
        DogwoodwoodPolicy policy = DogwoodwoodPolicy.create(simulation, seed);
        int last = workload.dataCentres() - 1;
        simulation
                .events()
                .scheduleAt(LEAVE_NANOS, () -> issueOrder(simulation, policy, last, true));
        simulation
                .events()
                .scheduleAt(RETURN_NANOS, () -> issueOrder(simulation, policy, last, false));
        simulation.run(policy);
        return Row.of(simulation, "leave-and-return");
    }

    /** Measures the same window with the data centre out from the start. */
    public static Row alwaysOut(Workload workload, long seed) {
        Simulation simulation = createSimulation(workload, seed);
        DogwoodwoodPolicy policy = DogwoodwoodPolicy.create(simulation, seed);
        int last = workload.dataCentres() - 1;
        simulation.events().scheduleAt(0, () -> issueOrder(simulation, policy, last, true));
        simulation.run(policy);
        return Row.of(simulation, "always-out");
    }

    private static Simulation createSimulation(Workload workload, long seed) {
        Scenario scenario = new Scenario(workload, ServiceTimes.EXPONENTIAL, LOAD, seed, SECONDS);
        return Simulation.createWithWindow(scenario, LEAVE_NANOS, END_NANOS);
    }

    private static void issueOrder(
            Simulation simulation, DogwoodwoodPolicy policy, int dataCentre, boolean out) {
        policy.propagateDataCentreOrder(dataCentre, out);
        simulation.setDataCentreOut(dataCentre, out);
    }
}
