package org.dogwoodwood.benchmarks;

import java.util.ArrayList;
import java.util.List;
import org.dogwoodwood.benchmarks.policy.Policy;
import org.dogwoodwood.benchmarks.report.Row;
import org.dogwoodwood.benchmarks.simulation.Scenario;
import org.dogwoodwood.benchmarks.simulation.ServiceTimes;
import org.dogwoodwood.benchmarks.simulation.Simulation;
import org.dogwoodwood.benchmarks.simulation.Workload;

/** Runs policies in scenarios; the results are deterministic for a scenario and its seed. */
public final class BenchmarkRunner {

    public static final List<Double> LOADS = List.of(0.5, 0.7, 0.85, 0.95, 1.2);

    private static final List<ServiceTimes> SERVICE_TIMES =
            List.of(ServiceTimes.EXPONENTIAL, ServiceTimes.LOG_NORMAL, ServiceTimes.BIMODAL);

    private BenchmarkRunner() {}

    /** One cell of the benchmark matrix: a scenario and the policy that runs in it. */
    private record Cell(Scenario scenario, Policy policy) {}

    /** Runs one policy in one scenario. */
    public static Row run(Scenario scenario, Policy policy) {
        Simulation simulation = Simulation.create(scenario);
        simulation.run(policy.create(simulation, scenario.seed()));
        return Row.of(simulation, policy.label());
    }

    /**
     * Runs all policies under all loads and distributions of service times.
     *
     * @param workloads the workloads
     * @param policies the policies
     * @param seed the seed of all scenarios
     * @param seconds the measured time of each run, in virtual seconds
     * @return one row per workload, distribution, load and policy
     */
    public static List<Row> runAll(
            List<Workload> workloads, List<Policy> policies, long seed, int seconds) {
        List<Cell> cells = new ArrayList<>();
        for (Workload workload : workloads) {
            for (ServiceTimes serviceTimes : SERVICE_TIMES) {
                for (double load : LOADS) {
                    Scenario scenario = new Scenario(workload, serviceTimes, load, seed, seconds);
                    policies.forEach(policy -> cells.add(new Cell(scenario, policy)));
                }
            }
        }
        return cells.parallelStream().map(cell -> run(cell.scenario, cell.policy)).toList();
    }
}
