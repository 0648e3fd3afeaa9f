package org.dogwoodwood.benchmarks.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** The simulated network, targets and callers of one run. */
public final class Simulation {

    private static final double IDEMPOTENT_SHARE = 0.75;

    private final Scenario scenario;
    private final EventQueue events = new EventQueue();
    private final List<Workload.Node> nodes;
    private final List<SimulatedTarget> targets = new ArrayList<>();
    private final boolean[][] connected;
    private final boolean[] dataCentreOut;
    private final Measurements measurements;
    private long nextNumber;

    private Simulation(Scenario scenario, Measurements measurements) {
        this.scenario = scenario;
        this.nodes = scenario.workload().nodes();
        this.connected = new boolean[nodes.size()][nodes.size()];
        this.measurements = measurements;
        this.dataCentreOut = new boolean[scenario.workload().dataCentres()];
        for (int i = 0; i < nodes.size(); i++) {
            targets.add(
                    new SimulatedTarget(
                            events, scenario.workload().slots(), scenario.workload().model()));
        }
    }

    /** Creates a simulation that measures all calls after the warm-up. */
    public static Simulation create(Scenario scenario) {
        return createWithWindow(scenario, Scenario.WARM_UP_NANOS, scenario.endNanos());
    }

    /**
     * Creates a simulation that measures the calls sent in a window of time.
     *
     * @param scenario the conditions of the run
     * @param windowStartNanos the start of the window, in virtual nanoseconds
     * @param windowEndNanos the end of the window, exclusive, in virtual nanoseconds
     */
    public static Simulation createWithWindow(
            Scenario scenario, long windowStartNanos, long windowEndNanos) {
        return new Simulation(scenario, new Measurements(windowStartNanos, windowEndNanos));
    }

    /** Implemented by each policy to process the calls that arrive at an ingress. */
    public interface ArrivalHandler {

        /** Handles a call that has reached its ingress. */
        void onArrival(SimulatedCall call);
    }

    /** Runs the scenario to its end and until the last call has ended. */
    public void run(ArrivalHandler handler) {
        SplittableRandom seeds = new SplittableRandom(scenario.seed());
        for (SimulatedTarget target : targets) {
            NeighbourPattern pattern = scenario.workload().model().neighbourPattern();
            new NoisyNeighbours(events, target, pattern, seeds.split()).start();
        }
        for (int service = 0; service < scenario.workload().targetsByService().size(); service++) {
            new CallGenerator(service, seeds.split(), handler).scheduleNext();
        }
        events.scheduleAt(
                measurements.windowStartNanos(),
                () -> targets.forEach(SimulatedTarget::startAccounting));
        events.scheduleAt(
                measurements.windowEndNanos(),
                () -> targets.forEach(SimulatedTarget::stopAccounting));
        events.runUntil(scenario.endNanos() + 2 * scenario.workload().times().timeoutNanos());
    }

    /** Sends a frame from one node to another and runs the action when it arrives. */
    public void send(int from, int to, Runnable action) {
        long delay = delayNanos(from, to);
        if (from != to) {
            measurements.onMessage(events.nowNanos());
            if (!connected[from][to]) {
                connected[from][to] = true;
                connected[to][from] = true;
                delay += Workload.CONNECT_NANOS;
            }
        }
        events.scheduleAfter(delay, action);
    }

    /**
     * Sends an answer that has reached the ingress to the caller, or fails a call that is too late.
     */
    public void answer(SimulatedCall call) {
        long now = events.nowNanos();
        if (now > call.ingressDeadlineNanos()) {
            fail(call);
            return;
        }
        measurements.onAnswered(call, now + Workload.CALLER_DELAY_NANOS, now);
    }

    /** Reports to the caller that its call was refused and not run. */
    public void refuse(SimulatedCall call) {
        measurements.onRefused(call, events.nowNanos() + Workload.CALLER_DELAY_NANOS);
    }

    /** Records a call that got no answer before its deadline. */
    public void fail(SimulatedCall call) {
        measurements.onFailed(call);
    }

    /** Sets whether a data centre is out; ingress nodes of such a data centre get no new calls. */
    public void setDataCentreOut(int dataCentre, boolean out) {
        dataCentreOut[dataCentre] = out;
    }

    /** Returns the virtual clock. */
    public EventQueue events() {
        return events;
    }

    /** Returns all nodes. */
    public List<Workload.Node> nodes() {
        return nodes;
    }

    /** Returns the target beside the node with the given index. */
    public SimulatedTarget target(int index) {
        return targets.get(index);
    }

    /** Returns the one-way delay between two nodes, in nanoseconds. */
    public long delayNanos(int from, int to) {
        return scenario.workload().delayNanos(nodes.get(from), nodes.get(to));
    }

    /** Returns the measurements. */
    public Measurements measurements() {
        return measurements;
    }

    /** Returns the conditions of the run. */
    public Scenario scenario() {
        return scenario;
    }

    /**
     * Returns the work that all targets could have done in the measured window, in slot
     * nanoseconds.
     */
    public double availableNanos() {
        return targets.stream().mapToDouble(SimulatedTarget::availableNanos).sum();
    }

    /** Returns the work that all targets did in the measured window, in slot nanoseconds. */
    public double workDoneNanos() {
        return targets.stream().mapToDouble(SimulatedTarget::workDoneNanos).sum();
    }

    /** Returns the largest number of calls that any target ran concurrently. */
    public int peakInFlight() {
        return targets.stream().mapToInt(SimulatedTarget::peakInFlight).max().orElse(0);
    }

    /** Generates the calls of one service as a Poisson process at randomly chosen ingress nodes. */
    private final class CallGenerator {
        private final int service;
        private final SplittableRandom random;
        private final ArrivalHandler handler;
        private final double meanGapNanos;

        CallGenerator(int service, SplittableRandom random, ArrivalHandler handler) {
            this.service = service;
            this.random = random;
            this.handler = handler;
            Workload workload = scenario.workload();
            double slots = workload.slots() * workload.targetsByService().get(service);
            double speed = workload.model().neighbourPattern().meanSpeed();
            double capacity = slots * speed / workload.times().meanDemandNanos();
            this.meanGapNanos = 1 / (capacity * scenario.load());
        }

        void scheduleNext() {
            double gap = -Math.log(1 - random.nextDouble()) * meanGapNanos;
            events.scheduleAfter(Math.round(gap), this::send);
        }

        private void send() {
            long now = events.nowNanos();
            if (now >= scenario.endNanos()) {
                return;
            }
            CallTimes times = scenario.workload().times();
            double demand = scenario.serviceTimes().sampleNanos(times.meanDemandNanos(), random);
            boolean idempotent = random.nextDouble() < IDEMPOTENT_SHARE;
            int ingress = chooseIngress();
            SimulatedCall call =
                    new SimulatedCall(
                            nextNumber++, service, ingress, now, demand, idempotent, times);
            measurements.onCall(call);
            events.scheduleAfter(Workload.CALLER_DELAY_NANOS, () -> handler.onArrival(call));
            scheduleNext();
        }

        private int chooseIngress() {
            int ingress = random.nextInt(nodes.size());
            while (dataCentreOut[nodes.get(ingress).dataCentre()]) {
                ingress = random.nextInt(nodes.size());
            }
            return ingress;
        }
    }
}
