package org.dogwoodwood.benchmarks.micro;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.dogwoodwood.core.balancing.AttemptResult;
import org.dogwoodwood.core.balancing.BalancingStrategy;
import org.dogwoodwood.core.balancing.Candidate;
import org.dogwoodwood.core.balancing.ExpectedCompletionStrategy;
import org.dogwoodwood.core.model.LoadReport;
import org.dogwoodwood.core.model.NodeId;
import org.dogwoodwood.core.model.TargetState;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Measures the time to choose a target and to record the start and end of a call there. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 3, time = 1)
public class ChoiceBenchmark {

    private static final long STEP_NANOS = 10_000;

    @Param({"4", "24", "240"})
    private int targets;

    private final SplittableRandom random = new SplittableRandom(1);
    private final BalancingStrategy strategy = ExpectedCompletionStrategy.create();
    private final List<Candidate> candidates = new ArrayList<>();
    private long nowNanos;

    /** Creates the candidates and their load reports. */
    @Setup
    public void createCandidates() {
        for (int i = 0; i < targets; i++) {
            NodeId node = NodeId.of("node-" + i);
            candidates.add(new Candidate(node, 1, "data-centre-" + i % 4, i % 4 * 1_000L, false));
            LoadReport report =
                    new LoadReport(node, 1, 1, i % 18, 0, 18, 18, 6_000, 0, TargetState.WARM);
            strategy.onReport(report, 0);
        }
    }

    /** Chooses a target and records the start and end of a call there. */
    @Benchmark
    public Optional<NodeId> choose() {
        nowNanos += STEP_NANOS;
        Optional<NodeId> node = strategy.choose(candidates, Set.of(), nowNanos, random);
        strategy.onSent(node.get(), nowNanos);
        strategy.onEnded(node.get(), AttemptResult.SUCCEEDED, STEP_NANOS, nowNanos);
        return node;
    }
}
