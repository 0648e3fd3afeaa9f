package org.dogwoodwood.faults.matrix;

import static org.dogwoodwood.faults.simulation.EventLoop.MILLISECOND;
import static org.dogwoodwood.faults.simulation.EventLoop.SECOND;

import java.util.ArrayList;
import java.util.List;
import org.dogwoodwood.core.model.NodeId;
import org.dogwoodwood.faults.invariant.Invariants;
import org.dogwoodwood.faults.invariant.Violation;
import org.dogwoodwood.faults.simulation.Journal;
import org.dogwoodwood.faults.simulation.Policies;
import org.dogwoodwood.faults.simulation.SimulatedCluster;
import org.dogwoodwood.faults.simulation.StepContext;

/**
 * A run of a simulated cluster through all steps, with faults injected at given steps.
 *
 * <p>A run starts four nodes in three data centres under load, publishes configurations, adds a
 * node, replaces another one, takes a data centre out and returns it, and ends with 4 s without
 * load in which all callers must be answered.
 */
public final class FaultRun {

    private static final long FIRST_FAULT_NANOS = 9 * SECOND;
    private static final long LOAD_START_NANOS = 8 * SECOND;
    private static final long LOAD_END_NANOS = 24 * SECOND;
    private static final long END_NANOS = 28 * SECOND;
    private static final int MAX_SKIPPED_CALL_STEPS = 200;

    private final SimulatedCluster cluster;
    private final List<FaultMatrix.Cell> pending;
    private final List<FaultMatrix.Cell> injected = new ArrayList<>();
    private int callStepsToSkip;

    private FaultRun(List<FaultMatrix.Cell> cells, long seed, Policies policies) {
        cluster = SimulatedCluster.create(seed, policies);
        pending = new ArrayList<>(cells);
        callStepsToSkip = cluster.loop().random().nextInt(MAX_SKIPPED_CALL_STEPS);
    }

    /**
     * The result of a run.
     *
     * @param injected the faults that were injected, in order; a fault whose step was not reached
     *     is missing
     * @param violations the violations of all invariants
     * @param journal the events of the run
     */
    public record Result(
            List<FaultMatrix.Cell> injected, List<Violation> violations, Journal journal) {}

    /**
     * Runs a cluster.
     *
     * @param cells the faults and their steps, in the order of injection; a random number of
     *     occurrences is skipped at steps of calls, otherwise the first one is taken
     * @param seed the seed of all randomness
     * @param policies the decisions of the nodes, not null
     */
    public static Result run(List<FaultMatrix.Cell> cells, long seed, Policies policies) {
        return new FaultRun(cells, seed, policies).run();
    }

    private Result run() {
        cluster.startNode("a1", "a");
        cluster.startNode("a2", "a");
        cluster.startNode("b1", "b");
        cluster.startNode("c1", "c");
        cluster.loop().schedule(FIRST_FAULT_NANOS, () -> cluster.addStepListener(this::onStep));
        cluster.loop().schedule(LOAD_START_NANOS, () -> cluster.callers().start(LOAD_END_NANOS));
        scheduleAt(10_500, this::publish);
        scheduleAt(11_000, () -> cluster.startNode("b2", "b"));
        scheduleAt(12_300, this::publish);
        // 5 ms after a burst, so that calls are in flight and queued.
        scheduleAt(12_905, () -> cluster.replaceNode(NodeId.of("a2")));
        scheduleAt(16_000, () -> cluster.issueOrder("c", true, "out-1"));
        scheduleAt(19_500, () -> cluster.issueOrder("c", false, "in-1"));
        scheduleAt(21_000, this::publish);
        cluster.loop().runUntil(END_NANOS);
        return new Result(injected, Invariants.check(cluster.journal()), cluster.journal());
    }

    private void publish() {
        cluster.publish(cluster.log().acceptedVersion());
    }

    private void onStep(StepContext context) {
        if (pending.isEmpty() || pending.get(0).step() != context.step()) {
            return;
        }
        if (context.step().isCallStep() && callStepsToSkip > 0) {
            callStepsToSkip--;
            return;
        }
        FaultMatrix.Cell cell = pending.remove(0);
        injected.add(cell);
        callStepsToSkip = cluster.loop().random().nextInt(MAX_SKIPPED_CALL_STEPS);
        new FaultInjector(cluster).inject(cell.fault(), context);
    }

    private void scheduleAt(long millis, Runnable task) {
        cluster.loop().schedule(millis * MILLISECOND, task);
    }
}
