package org.dogwoodwood.benchmarks.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** The fake network, targets and callers of one run. */
public final class World {

    private static final double IDEMPOTENT_SHARE = 0.75;

    private final Scenario scenario;
    private final EventQueue events = new EventQueue();
    private final List<Workload.Place> places;
    private final List<SimulatedTarget> targets = new ArrayList<>();
    private final boolean[][] connected;
    private final boolean[] dataCentreOut;
    private final Measurements measurements;
    private long nextNumber;

    private World(Scenario scenario, Measurements measurements) {
        this.scenario = scenario;
        this.places = scenario.workload().places();
        this.connected = new boolean[places.size()][places.size()];
        this.measurements = measurements;
        this.dataCentreOut = new boolean[scenario.workload().dataCentres()];
        for (int i = 0; i < places.size(); i++) {
            targets.add(
                    new SimulatedTarget(
                            events, scenario.workload().slots(), scenario.workload().model()));
        }
    }

    /** Returns a world that measures all calls after the warm-up. */
    public static World create(Scenario scenario) {
        return measuring(scenario, Scenario.WARM_UP_NANOS, scenario.endNanos());
    }

    /** Returns a world that measures the calls sent in a window of time. */
    public static World measuring(Scenario scenario, long fromNanos, long untilNanos) {
        return new World(scenario, new Measurements(fromNanos, untilNanos));
    }

    /** Takes the calls as they reach their ingress. */
    public interface Arrivals {

        /** Handles a call that has reached its ingress. */
        void onArrival(SimulatedCall call);
    }

    /** Runs the scenario to its end, and until the last call has ended. */
    public void run(Arrivals arrivals) {
        SplittableRandom seeds = new SplittableRandom(scenario.seed());
        for (SimulatedTarget target : targets) {
            NeighbourPattern pattern = scenario.workload().model().neighbours();
            new NoisyNeighbours(events, target, pattern, seeds.split()).start();
        }
        for (int service = 0; service < scenario.workload().targetsByService().size(); service++) {
            new CallStream(service, seeds.split(), arrivals).scheduleNext();
        }
        events.at(measurements.fromNanos(), () -> targets.forEach(SimulatedTarget::startAccounts));
        events.at(measurements.untilNanos(), () -> targets.forEach(SimulatedTarget::closeAccounts));
        events.runUntil(scenario.endNanos() + 2 * scenario.workload().times().timeoutNanos());
    }

    /** Carries a frame from one node to another and then runs the action. */
    public void send(int from, int to, Runnable action) {
        long delay = distanceNanos(from, to);
        if (from != to) {
            measurements.onMessage(events.nowNanos());
            if (!connected[from][to]) {
                connected[from][to] = true;
                connected[to][from] = true;
                delay += Workload.CONNECT_NANOS;
            }
        }
        events.after(delay, action);
    }

    /** Sends the target's answer from the ingress, where it is now, to the caller. */
    public void answer(SimulatedCall call) {
        long now = events.nowNanos();
        if (now > call.ingressDeadlineNanos()) {
            fail(call);
            return;
        }
        measurements.onAnswered(call, now + Workload.CALLER_DISTANCE_NANOS, now);
    }

    /** Tells the caller that its call was refused and not run. */
    public void refuse(SimulatedCall call) {
        measurements.onRefused(call, events.nowNanos() + Workload.CALLER_DISTANCE_NANOS);
    }

    /** Ends a call that got no answer in time. */
    public void fail(SimulatedCall call) {
        measurements.onFailed(call);
    }

    /** Marks a data centre, whose ingress nodes then get no new callers. */
    public void setDataCentreOut(int dataCentre, boolean out) {
        dataCentreOut[dataCentre] = out;
    }

    /** Returns the virtual clock. */
    public EventQueue events() {
        return events;
    }

    /** Returns all nodes. */
    public List<Workload.Place> places() {
        return places;
    }

    /** Returns the target beside a node. */
    public SimulatedTarget target(int index) {
        return targets.get(index);
    }

    /** Returns the one-way delay between two nodes, in nanoseconds. */
    public long distanceNanos(int from, int to) {
        return scenario.workload().distanceNanos(places.get(from), places.get(to));
    }

    /** Returns the measurements. */
    public Measurements measurements() {
        return measurements;
    }

    /** Returns the conditions of the run. */
    public Scenario scenario() {
        return scenario;
    }

    /** Returns the work that all targets could have done in the measured time. */
    public double availableNanos() {
        return targets.stream().mapToDouble(SimulatedTarget::availableNanos).sum();
    }

    /** Returns the work that all targets did in the measured time. */
    public double usedNanos() {
        return targets.stream().mapToDouble(SimulatedTarget::usedNanos).sum();
    }

    /** Returns the most calls that a target worked on at a time. */
    public int peakRuns() {
        return targets.stream().mapToInt(SimulatedTarget::peakRuns).max().orElse(0);
    }

    /** The calls of one service: a Poisson process at ingress nodes chosen at random. */
    private final class CallStream {
        private final int service;
        private final SplittableRandom random;
        private final Arrivals arrivals;
        private final double gapNanos;

        CallStream(int service, SplittableRandom random, Arrivals arrivals) {
            this.service = service;
            this.random = random;
            this.arrivals = arrivals;
            Workload workload = scenario.workload();
            double slots = workload.slots() * workload.targetsByService().get(service);
            double speed = workload.model().neighbours().meanSpeed();
            double capacity = slots * speed / workload.times().meanNanos();
            this.gapNanos = 1 / (capacity * scenario.load());
        }

        void scheduleNext() {
            double gap = -Math.log(1 - random.nextDouble()) * gapNanos;
            events.after(Math.round(gap), this::send);
        }

        private void send() {
            long now = events.nowNanos();
            if (now >= scenario.endNanos()) {
                return;
            }
            CallTimes times = scenario.workload().times();
            double demand = scenario.serviceTimes().sampleNanos(times.meanNanos(), random);
            boolean idempotent = random.nextDouble() < IDEMPOTENT_SHARE;
            int ingress = chooseIngress();
            SimulatedCall call =
                    new SimulatedCall(
                            nextNumber++, service, ingress, now, demand, idempotent, times);
            measurements.onCall(call);
            events.after(Workload.CALLER_DISTANCE_NANOS, () -> arrivals.onArrival(call));
            scheduleNext();
        }

        private int chooseIngress() {
            int ingress = random.nextInt(places.size());
            while (dataCentreOut[places.get(ingress).dataCentre()]) {
                ingress = random.nextInt(places.size());
            }
            return ingress;
        }
    }
}
