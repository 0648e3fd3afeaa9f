package org.dogwoodwood.benchmarks.micro;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.dogwoodwood.core.admission.AdmissionController;
import org.dogwoodwood.core.admission.AdmissionDecision;
import org.dogwoodwood.core.admission.DefaultAdmissionController;
import org.dogwoodwood.core.admission.TargetCapacity;
import org.dogwoodwood.core.configuration.PolicyDefinition;
import org.dogwoodwood.core.model.CallDescription;
import org.dogwoodwood.core.model.CallId;
import org.dogwoodwood.core.model.NodeId;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Measures the time to admit and end a call at the guard. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 3, time = 1)
public class AdmissionBenchmark {

    private static final long SERVICE_NANOS = 6_000_000;
    private static final long TIMEOUT_NANOS = 2_000_000_000;

    private final NodeId ingress = NodeId.of("node-0");
    private final AdmissionController controller =
            DefaultAdmissionController.create(
                    PolicyDefinition.withDefaults("default"),
                    Map.of(),
                    new TargetCapacity(18, 240, 1, false, 1),
                    0);
    private long nowNanos;
    private long counter;

    /** Offers a call, ends it and fetches the next startable call. */
    @Benchmark
    public AdmissionDecision admit() {
        CallDescription call =
                new CallDescription(
                        CallId.of(ingress, 1, counter++),
                        0,
                        "outings",
                        "default",
                        true,
                        Optional.empty(),
                        0,
                        0,
                        nowNanos + TIMEOUT_NANOS,
                        nowNanos + TIMEOUT_NANOS,
                        false);
        AdmissionDecision decision = controller.offer(call, nowNanos);
        nowNanos += SERVICE_NANOS;
        controller.onEnded(call.id(), 0, SERVICE_NANOS, false, nowNanos);
        controller.nextStartable(nowNanos);
        return decision;
    }
}
