package org.dogwoodwood.benchmarks.slopes;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.dogwoodwood.benchmarks.slopes.Sample.Unit;
import org.dogwoodwood.codec.wire.AnswerFrame;
import org.dogwoodwood.codec.wire.CallFrame;
import org.dogwoodwood.codec.wire.FrameDecoder;
import org.dogwoodwood.codec.wire.FrameEncoder;
import org.dogwoodwood.core.admission.AdmissionController;
import org.dogwoodwood.core.admission.AdmissionDecision;
import org.dogwoodwood.core.admission.DefaultAdmissionController;
import org.dogwoodwood.core.admission.TargetCapacity;
import org.dogwoodwood.core.balancing.AttemptResult;
import org.dogwoodwood.core.balancing.BalancingStrategy;
import org.dogwoodwood.core.balancing.Candidate;
import org.dogwoodwood.core.balancing.ExpectedCompletionStrategy;
import org.dogwoodwood.core.calls.CallRegistry;
import org.dogwoodwood.core.calls.FinishedCall;
import org.dogwoodwood.core.configuration.PolicyDefinition;
import org.dogwoodwood.core.model.CallDescription;
import org.dogwoodwood.core.model.HeaderField;
import org.dogwoodwood.core.model.LoadReport;
import org.dogwoodwood.core.model.NodeId;
import org.dogwoodwood.core.model.TargetAnswer;
import org.dogwoodwood.core.model.TargetState;

/** Measures the cost of a call as a function of the numbers of targets, slots and kept calls. */
final class CallSlopes {

    private static final long SERVICE_TIME_NANOS = 6_000_000L;
    private static final long ROUND_TRIP_NANOS = 500_000L;
    private static final int CONNECTIONS = 240;

    private CallSlopes() {}

    /** Measures the choice of a target at each number of candidates. */
    static List<Sample> measureChoice(int[] sizes, long seed) {
        List<Sample> samples = new ArrayList<>();
        for (int size : sizes) {
            double micros = choiceMicros(size, seed);
            samples.add(new Sample(Quantity.CHOICE, "candidates", size, micros, Unit.MICROSECONDS));
        }
        return samples;
    }

    /** Measures admission at targets with each number of slots. */
    static List<Sample> measureAdmission(int[] sizes) {
        List<Sample> samples = new ArrayList<>();
        for (int size : sizes) {
            double micros = admissionMicros(size);
            samples.add(new Sample(Quantity.ADMISSION, "slots", size, micros, Unit.MICROSECONDS));
        }
        return samples;
    }

    /** Measures the size, encoding and decoding of the frames of one call. */
    static List<Sample> measureFrames() {
        byte[] call = FrameEncoder.encode(SyntheticSystem.callFrame(1));
        byte[] answer = FrameEncoder.encode(answer(SyntheticSystem.callFrame(1)));
        double micros = CpuMeter.microsecondsPerRun(CallSlopes::encodeAndDecodeCall);
        return List.of(
                new Sample(
                        Quantity.CALL_FRAME_BYTES,
                        "calls",
                        1,
                        call.length + answer.length,
                        Unit.BYTES),
                new Sample(Quantity.CALL_CODEC, "calls", 1, micros, Unit.MICROSECONDS));
    }

    /** Measures the heap at each number of calls whose answers are kept. */
    static List<Sample> measureKeptCalls(int[] sizes) {
        List<Sample> samples = new ArrayList<>();
        for (int size : sizes) {
            double bytes = HeapMeter.retainedBytes(() -> registryWith(size));
            samples.add(new Sample(Quantity.KEPT_CALL_HEAP, "kept calls", size, bytes, Unit.BYTES));
        }
        return samples;
    }

    private static double choiceMicros(int size, long seed) {
        BalancingStrategy strategy = ExpectedCompletionStrategy.create();
        SplittableRandom random = new SplittableRandom(seed);
        List<Candidate> candidates = new ArrayList<>();
        for (int index = 0; index < size; index++) {
            NodeId node = SyntheticSystem.nodeId(index);
            candidates.add(new Candidate(node, 1, "data-centre-1", ROUND_TRIP_NANOS, false));
            strategy.onReport(report(node, random.nextInt(18)), 0);
        }
        long[] now = {0};
        return CpuMeter.microsecondsPerRun(
                () -> {
                    now[0] += 1_000;
                    NodeId chosen =
                            strategy.choose(candidates, Set.of(), now[0], random).orElseThrow();
                    strategy.onSent(chosen, now[0]);
                    strategy.onEnded(chosen, AttemptResult.SUCCEEDED, SERVICE_TIME_NANOS, now[0]);
                });
    }

    private static LoadReport report(NodeId node, int inFlight) {
        return new LoadReport(
                node, 1, 1, inFlight, 0, 18, 18, SERVICE_TIME_NANOS / 1_000, 0, TargetState.WARM);
    }

    private static double admissionMicros(int slots) {
        AdmissionController admission =
                DefaultAdmissionController.create(
                        PolicyDefinition.withDefaults("standard"),
                        Map.of(),
                        new TargetCapacity(slots, CONNECTIONS, slots, false, 1),
                        0);
        long[] counter = {0};
        return CpuMeter.microsecondsPerRun(
                () -> {
                    long now = counter[0]++ * SERVICE_TIME_NANOS;
                    CallDescription call = SyntheticSystem.callFrame(counter[0]).toDescription(now);
                    if (admission.offer(call, now).kind() != AdmissionDecision.Kind.START) {
                        throw new IllegalStateException("An idle target did not admit a call.");
                    }
                    admission.onEnded(
                            call.id(),
                            call.attempt(),
                            SERVICE_TIME_NANOS,
                            false,
                            now + SERVICE_TIME_NANOS);
                });
    }

    private static void encodeAndDecodeCall() {
        CallFrame call = SyntheticSystem.callFrame(1);
        decode(FrameEncoder.encode(call));
        decode(FrameEncoder.encode(answer(call)));
    }

    private static void decode(byte[] frame) {
        FrameDecoder.decode(java.util.Arrays.copyOfRange(frame, Integer.BYTES, frame.length));
    }

    private static AnswerFrame answer(CallFrame call) {
        return AnswerFrame.of(
                call.id(), finishedCall(), Optional.of(report(SyntheticSystem.nodeId(1), 7)));
    }

    private static FinishedCall finishedCall() {
        List<HeaderField> headers = List.of(HeaderField.of("Content-Type", "application/json"));
        return FinishedCall.answered(TargetAnswer.of(200, headers, new byte[0]));
    }

    private static CallRegistry registryWith(int calls) {
        CallRegistry registry = CallRegistry.create();
        for (int counter = 0; counter < calls; counter++) {
            CallFrame call = SyntheticSystem.callFrame(counter);
            registry.begin(call.id(), 0);
            registry.finish(call.id(), finishedCall(), 0);
        }
        return registry;
    }
}
