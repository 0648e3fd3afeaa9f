package org.dogwoodwood.faults.simulation;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.dogwoodwood.core.admission.TargetCapacity;
import org.dogwoodwood.core.model.NodeId;
import org.dogwoodwood.faults.simulation.Event.EndReason;

/** A simulated target with slots, cold start, slowdown, fast failure, drain and crashes. */
public final class SimulatedTarget {

    public static final int SLOTS = 6;
    public static final int CONNECTIONS = 40;
    public static final int COLD_SLOTS = 1;

    private static final int CALLS_UNTIL_WARM = 5;
    private static final long RESTART_DELAY_NANOS = 300 * EventLoop.MILLISECOND;
    private static final long MIN_SERVICE_NANOS = 8 * EventLoop.MILLISECOND;
    private static final long SERVICE_RANGE_NANOS = 12 * EventLoop.MILLISECOND;
    private static final long FAILURE_NANOS = EventLoop.MILLISECOND;

    /** The result of an execution, as reported to the guard; the status is 0 without an answer. */
    public record Result(EndReason endReason, int status, Optional<String> body) {}

    /** The state that the target reports about itself. */
    public record Load(TargetCapacity capacity, boolean draining) {}

    private static final class Execution {
        private final Request request;
        private final Consumer<Result> onEnd;

        Execution(Request request, Consumer<Result> onEnd) {
            this.request = request;
            this.onEnd = onEnd;
        }
    }

    private final NodeId node;
    private final String dataCentre;
    private final EventLoop loop;
    private final Journal journal;
    private final Map<Long, Execution> running = new LinkedHashMap<>();
    private final Set<Long> crashingFingerprints = new HashSet<>();
    private long incarnation = 1;
    private boolean up = true;
    private boolean cold = true;
    private int answeredSinceCold;
    private boolean draining;
    private boolean failing;
    private boolean alwaysReportsWarm;
    private int slowdownFactor = 1;
    private Runnable crashListener = () -> {};

    /** Creates a target that is running and cold. */
    public SimulatedTarget(NodeId node, String dataCentre, EventLoop loop, Journal journal) {
        this.node = node;
        this.dataCentre = dataCentre;
        this.loop = loop;
        this.journal = journal;
        journal.add(new Event.TurnedCold(loop.now(), node, true));
    }

    /** Sets the listener that is notified when a crash breaks the connections of the target. */
    public void setCrashListener(Runnable listener) {
        crashListener = listener;
    }

    /** Sets the factor by which service times are multiplied; 1 is normal. */
    public void setSlowdownFactor(int factor) {
        slowdownFactor = factor;
    }

    /** Sets whether the target answers every call after 1 ms with status 500. */
    public void setFailing(boolean value) {
        failing = value;
    }

    /** Sets whether the target reports that it is warm even if it is cold. */
    public void setAlwaysReportsWarm(boolean value) {
        alwaysReportsWarm = value;
    }

    /** Makes the target crash on requests with the given fingerprint. */
    public void crashOn(long fingerprint) {
        crashingFingerprints.add(fingerprint);
    }

    /** Starts or stops draining. */
    public void setDraining(boolean value) {
        draining = value;
        journal.add(
                value
                        ? new Event.LeavingStarted(loop.now(), node)
                        : new Event.LeavingEnded(loop.now(), node, 0));
    }

    /** Makes the target cold again without breaking connections, so that only a poll reveals it. */
    public void turnColdWithoutRestart() {
        if (up) {
            cold = true;
            answeredSinceCold = 0;
            journal.add(new Event.TurnedCold(loop.now(), node, false));
        }
    }

    /** Returns whether the target accepts connections. */
    public boolean isUp() {
        return up;
    }

    /** Returns whether the target reports that it is draining. */
    public boolean isDraining() {
        return draining;
    }

    /** Returns the number of requests that the target is running. */
    public int inFlight() {
        return running.size();
    }

    /** Polls the target for its load, or returns empty if it is down. */
    public Optional<Load> poll() {
        journal.add(new Event.TargetPolled(loop.now(), node));
        if (!up) {
            return Optional.empty();
        }
        TargetCapacity capacity =
                new TargetCapacity(
                        SLOTS, CONNECTIONS, COLD_SLOTS, cold && !alwaysReportsWarm, incarnation);
        return Optional.of(new Load(capacity, draining));
    }

    /**
     * Starts to run a request.
     *
     * @param onEnd is called when the execution ends, with or without an answer
     * @return whether the connection was accepted; otherwise the request is not run
     */
    public boolean start(Request request, Consumer<Result> onEnd) {
        if (!up) {
            return false;
        }
        Execution execution = new Execution(request, onEnd);
        running.put(request.number(), execution);
        journal.add(
                new Event.ExecutionStarted(
                        loop.now(), node, dataCentre, request, running.size(), cold, COLD_SLOTS));
        if (crashingFingerprints.contains(request.fingerprint())) {
            loop.schedule(FAILURE_NANOS, () -> crashIfRunning(execution));
            return true;
        }
        loop.schedule(serviceTimeNanos(), () -> finish(execution));
        return true;
    }

    /** Stops a running request without an answer. */
    public void cancel(long request) {
        Execution execution = running.remove(request);
        if (execution != null) {
            end(execution, EndReason.CANCELLED, 0, Optional.empty());
        }
    }

    /** Stops the target and interrupts all running requests, since the VM is shut down. */
    public void shutDown() {
        endAll(EndReason.INTERRUPTED_BY_SHUTDOWN);
        up = false;
    }

    /** Stops the target with all running requests, and restarts it cold after 300 ms. */
    public void crash() {
        if (!up) {
            return;
        }
        up = false;
        crashListener.run();
        endAll(EndReason.CRASHED);
        loop.schedule(RESTART_DELAY_NANOS, this::restart);
    }

    private void crashIfRunning(Execution execution) {
        if (running.get(execution.request.number()) == execution) {
            crash();
        }
    }

    private void restart() {
        up = true;
        cold = true;
        answeredSinceCold = 0;
        incarnation++;
        journal.add(new Event.TurnedCold(loop.now(), node, true));
    }

    private void finish(Execution execution) {
        if (!running.remove(execution.request.number(), execution)) {
            return;
        }
        answeredSinceCold++;
        if (answeredSinceCold >= CALLS_UNTIL_WARM) {
            cold = false;
        }
        String body = execution.request.expectedBody();
        end(execution, EndReason.ANSWERED, failing ? 500 : 200, Optional.of(body));
    }

    private void endAll(EndReason endReason) {
        List<Execution> ended = List.copyOf(running.values());
        running.clear();
        ended.forEach(execution -> end(execution, endReason, 0, Optional.empty()));
    }

    private void end(Execution execution, EndReason endReason, int status, Optional<String> body) {
        journal.add(
                new Event.ExecutionEnded(loop.now(), node, execution.request.number(), endReason));
        execution.onEnd.accept(new Result(endReason, status, body));
    }

    private long serviceTimeNanos() {
        if (failing) {
            return FAILURE_NANOS;
        }
        long overload = cold && running.size() > COLD_SLOTS ? 10 : 1;
        long base = MIN_SERVICE_NANOS + loop.random().nextLong(SERVICE_RANGE_NANOS);
        return base * slowdownFactor * overload;
    }
}
