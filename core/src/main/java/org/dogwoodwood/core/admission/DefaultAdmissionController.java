package org.dogwoodwood.core.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.core.configuration.CallClassDefinition;
import org.dogwoodwood.core.configuration.PolicyDefinition;
import org.dogwoodwood.core.model.CallDescription;
import org.dogwoodwood.core.model.CallId;
import org.dogwoodwood.core.retry.RetryStrategy;

/**
 * Admits calls up to the smallest of slots, connections, cold-start ramp and adaptive limit, and
 * keeps a short queue by class weight and deadline.
 */
public final class DefaultAdmissionController implements AdmissionController {

    private static final long INITIAL_SERVICE_TIME_NANOS = 10_000_000L;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private static final double FIRST_WAIT_RATIO = 0.5;
    private static final double RETRY_WAIT_RATIO = 2.0;

    /** Later attempts stay where they are, so that a call does not move about without end. */
    private static final int MAX_MOVABLE_ATTEMPT = 4;

    /** The time of a short call, as a share of the mean; shorter ones are rare. */
    private static final double SHORT_CALL_RATIO = 0.5;

    /**
     * A call that has waited for longer was placed by loads of which little is left; its ingress
     * can place it anew.
     */
    private static final long STALE_CHOICE_NANOS = 60 * NANOS_PER_MILLI;

    private static final double ERROR_WEIGHT = 0.05;

    private long queueLimitNanos;
    private Map<String, CallClassDefinition> callClasses;
    private final DeadlineQueue queue;
    private final ServiceTimeEstimate estimate;
    private final ColdStartRamp ramp;
    private final ToldSpeed speed = new ToldSpeed();
    private final CrowdingLimit crowding = CrowdingLimit.create();
    private ColdRate coldRate;
    private final Map<AttemptKey, Start> startByAttempt = new HashMap<>();
    private final Map<String, Integer> inFlightByClass = new HashMap<>();
    private final List<CallDescription> expired = new ArrayList<>();
    private TargetCapacity capacity;
    private double errorRatio;

    private DefaultAdmissionController(
            PolicyDefinition policy,
            Map<String, CallClassDefinition> callClasses,
            TargetCapacity capacity,
            long nowNanos) {
        this.queueLimitNanos = policy.queueLimitMillis() * NANOS_PER_MILLI;
        this.callClasses = Map.copyOf(callClasses);
        this.queue = new DeadlineQueue(callClasses);
        this.estimate = new ServiceTimeEstimate(INITIAL_SERVICE_TIME_NANOS, nowNanos);
        this.ramp = new ColdStartRamp(capacity);
        this.coldRate = new ColdRate(policy.coldCallsPerSecond(), nowNanos);
        this.capacity = capacity;
    }

    /**
     * Returns a controller for a target that has just become known and starts its ramp cold.
     *
     * @param policy the policy of the service, not null
     * @param callClasses the classes by name, not null; others have weight 1 and the whole target
     * @param capacity what the target announces, not null
     * @param nowNanos the present time on the monotonic clock, in nanoseconds
     */
    public static DefaultAdmissionController create(
            PolicyDefinition policy,
            Map<String, CallClassDefinition> callClasses,
            TargetCapacity capacity,
            long nowNanos) {
        return new DefaultAdmissionController(policy, callClasses, capacity, nowNanos);
    }

    @Override
    public AdmissionDecision offer(CallDescription call, long nowNanos) {
        estimate.advance(inFlight(), nowNanos);
        long remaining = call.deadlineNanos() - nowNanos;
        if (remaining <= 0) {
            return AdmissionDecision.refuse(ErrorCode.DEADLINE_TOO_SHORT);
        }
        if (exceedsClassShare(call.callClass())) {
            return AdmissionDecision.refuse(ErrorCode.CLASS_LIMIT);
        }
        int startLimit = call.mayQueue() ? limit() : preferredLimit(nowNanos);
        boolean free = queue.size() == 0 && inFlight() < startLimit && !isHolding(nowNanos);
        if (free && mayStartCold(nowNanos)) {
            start(call, nowNanos);
            return AdmissionDecision.start();
        }
        if (!call.mayQueue() || (isHolding(nowNanos) && mayMoveAgain(call))) {
            return AdmissionDecision.refuse(ErrorCode.GUARD_BUSY);
        }
        double waitNanos = expectedWaitNanos(call.callClass());
        boolean tooLong = waitNanos > waitLimitNanos(call);
        if (isMovable(call) && (call.attempt() > 0 || !tooLong)) {
            return AdmissionDecision.refuse(ErrorCode.GUARD_BUSY);
        }
        if (tooLong) {
            return AdmissionDecision.refuse(ErrorCode.OVERLOADED);
        }
        if (waitNanos > remaining) {
            return AdmissionDecision.refuse(ErrorCode.DEADLINE_TOO_SHORT);
        }
        queue.add(call, nowNanos);
        return AdmissionDecision.queue();
    }

    @Override
    public Optional<CallDescription> nextStartable(long nowNanos) {
        estimate.advance(inFlight(), nowNanos);
        if (queue.size() == 0 || isHolding(nowNanos) || !mayStartCold(nowNanos)) {
            return Optional.empty();
        }
        if (inFlight() >= limit() && !mayTryAboveLimit()) {
            return Optional.empty();
        }
        removeHopeless(nowNanos);
        Optional<CallDescription> next = queue.poll(nowNanos, (long) estimate.recentNanos());
        next.ifPresent(call -> start(call, nowNanos));
        return next;
    }

    @Override
    public List<CallDescription> removeExpired(long nowNanos) {
        estimate.advance(inFlight(), nowNanos);
        removeHopeless(nowNanos);
        List<CallDescription> removed = List.copyOf(expired);
        expired.clear();
        return removed;
    }

    @Override
    public List<CallDescription> removeMovable(long nowNanos) {
        estimate.advance(inFlight(), nowNanos);
        if (estimate.isSlow() || isHolding(nowNanos)) {
            return queue.removeAttemptsBelow(MAX_MOVABLE_ATTEMPT, nowNanos);
        }
        // Calls that started in a slow phase keep their slots long after a target has told its end.
        return speed.isTold()
                ? queue.removeAttemptsBelow(MAX_MOVABLE_ATTEMPT, nowNanos - STALE_CHOICE_NANOS)
                : List.of();
    }

    @Override
    public void onEnded(
            CallId id, int attempt, long serviceTimeNanos, boolean failed, long nowNanos) {
        Optional<Start> start = remove(id, attempt, nowNanos);
        if (start.isEmpty()) {
            return;
        }
        if (start.get().usual && !failed) {
            crowding.onCompleted(start.get().inFlight, serviceTimeNanos);
        }
        errorRatio += ERROR_WEIGHT * ((failed ? 1 : 0) - errorRatio);
        if (!failed) {
            // Fast failures must not look like a fast target.
            estimate.onCompleted();
        }
        ramp.onEnded(serviceTimeNanos, failed);
    }

    @Override
    public void onCancelled(CallId id, int attempt, long nowNanos) {
        remove(id, attempt, nowNanos);
    }

    @Override
    public boolean cancelQueued(CallId id, int attempt) {
        return queue.remove(id, attempt);
    }

    @Override
    public void onCapacity(TargetCapacity newCapacity, long nowNanos) {
        estimate.advance(inFlight(), nowNanos);
        ramp.onCapacity(newCapacity);
        capacity = newCapacity;
    }

    @Override
    public void onConfiguration(
            PolicyDefinition policy, Map<String, CallClassDefinition> newClasses, long nowNanos) {
        queueLimitNanos = policy.queueLimitMillis() * NANOS_PER_MILLI;
        callClasses = Map.copyOf(newClasses);
        queue.setDefinitions(newClasses);
        if (policy.coldCallsPerSecond() != coldRate.callsPerSecond()) {
            coldRate = new ColdRate(policy.coldCallsPerSecond(), nowNanos);
        }
    }

    @Override
    public int inFlight() {
        return startByAttempt.size();
    }

    @Override
    public int queued() {
        return queue.size();
    }

    @Override
    public int limit() {
        return ramp.bound(speed.isTold() ? crowding.limit(usableSlots()) : usableSlots());
    }

    @Override
    public long serviceTimeNanos(long nowNanos) {
        estimate.advance(inFlight(), nowNanos);
        return speed.slowdown(nowNanos) > 0
                ? (long) (estimate.baselineNanos() / speed.meanAtStarts())
                : (long) estimate.significantNanos();
    }

    @Override
    public void onSlowdown(double slowdown, long nowNanos) {
        speed.onSlowdown(slowdown, nowNanos);
    }

    @Override
    public double slowdown(long nowNanos) {
        return speed.slowdown(nowNanos);
    }

    @Override
    public boolean isSlow(long nowNanos) {
        return speed.isSlow(nowNanos);
    }

    @Override
    public boolean isHolding(long nowNanos) {
        return speed.isInSlowPhase(nowNanos);
    }

    @Override
    public double errorRatio() {
        return errorRatio;
    }

    private int usableSlots() {
        return Math.min(capacity.slots(), capacity.connections());
    }

    /** A cold target and one that does not tell its speed are not comparable at full load. */
    private boolean mayTryAboveLimit() {
        boolean atLimit = inFlight() == limit();
        return atLimit && speed.isTold() && !capacity.cold() && crowding.tryAbove(inFlight());
    }

    /** Returns the calls in flight up to which calls that could run elsewhere are started. */
    private int preferredLimit(long nowNanos) {
        double told = speed.slowdown(nowNanos);
        return told > 0
                ? AdaptiveLimit.limit(limit(), told)
                : AdaptiveLimit.limit(limit(), estimate);
    }

    /**
     * Returns the longest expected wait with which a call is queued. First attempts are refused at
     * half the policy's limit: near capacity, a longer queue only makes every call late. Calls that
     * have spent time on other guards are rather kept: to refuse them now would tell their callers
     * late.
     */
    private double waitLimitNanos(CallDescription call) {
        if (call.attempt() >= RetryStrategy.WAITED_ATTEMPT) {
            return Double.POSITIVE_INFINITY;
        }
        return call.attempt() == 0
                ? FIRST_WAIT_RATIO * queueLimitNanos
                : RETRY_WAIT_RATIO * queueLimitNanos;
    }

    /** A call without time for its work would be given up half-way, and may have run then. */
    private void removeHopeless(long nowNanos) {
        long workNanos = (long) (SHORT_CALL_RATIO * estimate.recentNanos());
        expired.addAll(queue.removeDueBefore(nowNanos + workNanos));
    }

    private boolean isMovable(CallDescription call) {
        return estimate.isSlow() && mayMoveAgain(call);
    }

    private static boolean mayMoveAgain(CallDescription call) {
        return call.attempt() < MAX_MOVABLE_ATTEMPT;
    }

    private double expectedWaitNanos(String callClass) {
        int limit = limit();
        double ahead = queue.queuedAhead(callClass) + Math.max(0, inFlight() - limit) + 1;
        double waitNanos = ahead * estimate.recentNanos() / limit;
        return capacity.cold() ? Math.max(waitNanos, coldRate.waitNanos(ahead)) : waitNanos;
    }

    private boolean exceedsClassShare(String callClass) {
        CallClassDefinition definition = callClasses.get(callClass);
        if (definition == null || definition.maxShare() >= 1) {
            return false;
        }
        double allowed = Math.max(1, Math.floor(definition.maxShare() * limit()));
        return inFlightByClass.getOrDefault(callClass, 0) >= allowed;
    }

    private boolean mayStartCold(long nowNanos) {
        return coldRate.allows(nowNanos) || !capacity.cold();
    }

    private void start(CallDescription call, long nowNanos) {
        coldRate.onStart();
        speed.onStarted(nowNanos);
        crowding.onStarted();
        Start start = new Start(call.callClass(), inFlight() + 1, isUsual(nowNanos));
        startByAttempt.put(new AttemptKey(call.id(), call.attempt()), start);
        inFlightByClass.merge(call.callClass(), 1, Integer::sum);
    }

    private boolean isUsual(long nowNanos) {
        double told = speed.slowdown(nowNanos);
        return told > 0 && told < AdaptiveLimit.TOLERATED_SLOWDOWN && !capacity.cold();
    }

    private Optional<Start> remove(CallId id, int attempt, long nowNanos) {
        estimate.advance(inFlight(), nowNanos);
        Optional<Start> start =
                Optional.ofNullable(startByAttempt.remove(new AttemptKey(id, attempt)));
        start.ifPresent(ended -> inFlightByClass.merge(ended.callClass, -1, Integer::sum));
        return start;
    }

    /**
     * How an attempt in flight began.
     *
     * @param callClass its class
     * @param inFlight the calls in flight then, with itself
     * @param usual whether the target told its usual speed and was warm
     */
    private record Start(String callClass, int inFlight, boolean usual) {}

    /** One attempt of a call. */
    private record AttemptKey(CallId id, int attempt) {}
}
