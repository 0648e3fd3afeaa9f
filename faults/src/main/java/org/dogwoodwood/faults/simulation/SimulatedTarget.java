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

/** A fake target with slots, cold start, slowdown, fast failure, drain and crashes. */
public final class SimulatedTarget {

    public static final int SLOTS = 6;
    public static final int CONNECTIONS = 40;
    public static final int COLD_SLOTS = 1;

    private static final int CALLS_UNTIL_WARM = 5;
    private static final long RESTART_NANOS = 300 * EventLoop.MILLISECOND;
    private static final long MIN_SERVICE_NANOS = 8 * EventLoop.MILLISECOND;
    private static final long SERVICE_RANGE_NANOS = 12 * EventLoop.MILLISECOND;
    private static final long FAILURE_NANOS = EventLoop.MILLISECOND;

    /** How the work ended, as the guard sees it. */
    public record Result(EndReason endReason, int status, Optional<String> body) {}

    /** What the target says of itself. */
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

    /** Creates a target that is up and cold. */
    public SimulatedTarget(NodeId node, String dataCentre, EventLoop loop, Journal journal) {
        this.node = node;
        this.dataCentre = dataCentre;
        this.loop = loop;
        this.journal = journal;
        journal.add(new Event.TurnedCold(loop.now(), node, true));
    }

    /** Sets what is told when the target's connections break. */
    public void setCrashListener(Runnable listener) {
        crashListener = listener;
    }

    /** Multiplies service times; 1 is normal. */
    public void setSlowdownFactor(int factor) {
        slowdownFactor = factor;
    }

    /** Makes the target fail every call at once. */
    public void setFailing(boolean value) {
        failing = value;
    }

    /** Makes the target report that it is warm even if it is cold. */
    public void setAlwaysReportsWarm(boolean value) {
        alwaysReportsWarm = value;
    }

    /** Makes requests with a fingerprint crash the target. */
    public void crashOn(long fingerprint) {
        crashingFingerprints.add(fingerprint);
    }

    /** Begins or ends draining. */
    public void setDraining(boolean value) {
        draining = value;
        journal.add(
                value
                        ? new Event.LeavingStarted(loop.now(), node)
                        : new Event.LeavingEnded(loop.now(), node, 0));
    }

    /** Makes the target cold again without any sign to its guard. */
    public void turnColdUndetected() {
        if (up) {
            cold = true;
            answeredSinceCold = 0;
            journal.add(new Event.TurnedCold(loop.now(), node, false));
        }
    }

    /** Returns whether it accepts connections. */
    public boolean isUp() {
        return up;
    }

    /** Returns whether it says that it drains. */
    public boolean isDraining() {
        return draining;
    }

    /** Returns the number of requests that it works on. */
    public int inFlight() {
        return running.size();
    }

    /** Returns what it says of itself, or empty if it is down. */
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
     * Begins to work on a request.
     *
     * @return whether the connection was accepted; if not, the request was not run
     */
    public boolean start(Request request, Consumer<Result> onEnd) {
        if (!up) {
            return false;
        }
        Execution work = new Execution(request, onEnd);
        running.put(request.number(), work);
        journal.add(
                new Event.ExecutionStarted(
                        loop.now(), node, dataCentre, request, running.size(), cold, COLD_SLOTS));
        if (crashingFingerprints.contains(request.fingerprint())) {
            loop.schedule(FAILURE_NANOS, () -> crashIfRunning(work));
            return true;
        }
        loop.schedule(serviceTimeNanos(), () -> finish(work));
        return true;
    }

    /** Stops the work on a request without an answer. */
    public void cancel(long request) {
        Execution work = running.remove(request);
        if (work != null) {
            end(work, EndReason.CANCELLED, 0, Optional.empty());
        }
    }

    /** Drops all work because the node's VM is shut down. */
    public void shutDown() {
        endAll(EndReason.INTERRUPTED_BY_SHUTDOWN);
        up = false;
    }

    /** Ends with everything in flight, and comes up cold a little later. */
    public void crash() {
        if (!up) {
            return;
        }
        up = false;
        crashListener.run();
        endAll(EndReason.CRASHED);
        loop.schedule(RESTART_NANOS, this::restart);
    }

    private void crashIfRunning(Execution work) {
        if (running.get(work.request.number()) == work) {
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

    private void finish(Execution work) {
        if (!running.remove(work.request.number(), work)) {
            return;
        }
        answeredSinceCold++;
        if (answeredSinceCold >= CALLS_UNTIL_WARM) {
            cold = false;
        }
        String body = work.request.expectedBody();
        end(work, EndReason.ANSWERED, failing ? 500 : 200, Optional.of(body));
    }

    private void endAll(EndReason ending) {
        List<Execution> ended = List.copyOf(running.values());
        running.clear();
        ended.forEach(work -> end(work, ending, 0, Optional.empty()));
    }

    private void end(Execution work, EndReason ending, int status, Optional<String> body) {
        journal.add(new Event.ExecutionEnded(loop.now(), node, work.request.number(), ending));
        work.onEnd.accept(new Result(ending, status, body));
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
