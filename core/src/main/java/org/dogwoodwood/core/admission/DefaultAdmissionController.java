package org.dogwoodwood.core.admission;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.core.OrderedCopies;
import org.dogwoodwood.core.configuration.AccountDefinition;
import org.dogwoodwood.core.configuration.CallClassDefinition;
import org.dogwoodwood.core.configuration.PolicyDefinition;
import org.dogwoodwood.core.model.CallDescription;
import org.dogwoodwood.core.model.CallId;
import org.dogwoodwood.core.retry.RetryStrategy;

/**
 * Admits calls up to the smallest of slots, connections, cold-start ramp and adaptive limit, and
 * keeps a short queue ordered by class weight and deadline.
 */
public final class DefaultAdmissionController implements AdmissionController {

    private static final long INITIAL_SERVICE_TIME_NANOS = 10_000_000L;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private static final double FIRST_WAIT_RATIO = 0.5;
    private static final double RETRY_WAIT_RATIO = 2.0;

    /**
     * Attempts from this number on stay at their guard, so that a call is not moved indefinitely.
     */
    private static final int FIRST_UNMOVABLE_ATTEMPT = 4;

    /** Service time of a short call as a share of the mean; shorter calls are rare. */
    private static final double SHORT_CALL_RATIO = 0.5;

    /**
     * After this queueing time, the load reports by which a call was placed are stale; its ingress
     * can choose a target again.
     */
    private static final long STALE_PLACEMENT_NANOS = 60 * NANOS_PER_MILLI;

    /** Weight of one call in the moving error ratio. */
    private static final double ERROR_WEIGHT = 0.05;

    private long queueLimitNanos;
    private Map<String, CallClassDefinition> callClasses;
    private final DeadlineQueue queue;
    private final ServiceTimeEstimate estimate;
    private final ColdStartRamp ramp;
    private final ReportedSlowdown reportedSlowdown = new ReportedSlowdown();
    private final PeakThroughputLimit throughputLimit = PeakThroughputLimit.create();
    private ColdStartRateLimit coldRateLimit;
    private final Map<AttemptKey, StartedAttempt> startedByAttempt = new HashMap<>();
    private final Map<String, Integer> inFlightByClass = new HashMap<>();
    private final ServedShares servedShares;
    private final List<CallDescription> expired = new ArrayList<>();
    private TargetCapacity capacity;
    private double errorRatio;

    private DefaultAdmissionController(
            PolicyDefinition policy,
            Map<String, CallClassDefinition> callClasses,
            TargetCapacity capacity,
            long nowNanos) {
        this.queueLimitNanos = policy.queueLimitMillis() * NANOS_PER_MILLI;
        this.callClasses = OrderedCopies.copyOf(callClasses);
        this.queue = new DeadlineQueue(callClasses);
        this.servedShares = new ServedShares(nowNanos);
        this.estimate = new ServiceTimeEstimate(INITIAL_SERVICE_TIME_NANOS, nowNanos);
        this.ramp = new ColdStartRamp(capacity);
        this.coldRateLimit = new ColdStartRateLimit(policy.coldCallsPerSecond(), nowNanos);
        this.capacity = capacity;
    }

    /**
     * Returns a controller for a newly known target, whose ramp starts at the cold slots.
     *
     * @param policy the policy of the service, not null
     * @param callClasses the call classes by name, not null; classes without a definition have
     *     weight 1 and may use the whole target
     * @param capacity the capacity that the target announces, not null
     * @param nowNanos the current time on the monotonic clock, in nanoseconds
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
        AdmissionDecision decision = decide(call, nowNanos);
        // A call that may run elsewhere is not finally refused.
        decision.refusal()
                .filter(code -> code != ErrorCode.GUARD_BUSY)
                .ifPresent(code -> countRefusal(call, nowNanos));
        return decision;
    }

    @Override
    public Optional<CallDescription> nextStartable(long nowNanos) {
        estimate.advance(inFlight(), nowNanos);
        if (queue.size() == 0 || isHolding(nowNanos) || !coldRateAllowsStart(nowNanos)) {
            return Optional.empty();
        }
        if (inFlight() >= limit() && !tryProbeAboveLimit()) {
            return Optional.empty();
        }
        expireUnfinishable(nowNanos);
        Optional<CallDescription> next = queue.poll(nowNanos, (long) estimate.recentNanos());
        next.ifPresent(call -> start(call, nowNanos));
        return next;
    }

    @Override
    public List<CallDescription> removeExpired(long nowNanos) {
        estimate.advance(inFlight(), nowNanos);
        expireUnfinishable(nowNanos);
        List<CallDescription> removed = List.copyOf(expired);
        expired.clear();
        removed.forEach(call -> countRefusal(call, nowNanos));
        return removed;
    }

    @Override
    public List<CallDescription> removeMovable(long nowNanos) {
        estimate.advance(inFlight(), nowNanos);
        if (estimate.isSlow() || isHolding(nowNanos)) {
            return queue.removeAttemptsBelow(FIRST_UNMOVABLE_ATTEMPT, nowNanos);
        }
        // Calls that started in a slow phase occupy their slots long after the target has reported
        // its end.
        return reportedSlowdown.isReported()
                ? queue.removeAttemptsBelow(
                        FIRST_UNMOVABLE_ATTEMPT, nowNanos - STALE_PLACEMENT_NANOS)
                : List.of();
    }

    @Override
    public void onEnded(
            CallId id, int attempt, long serviceTimeNanos, boolean failed, long nowNanos) {
        Optional<StartedAttempt> start = remove(id, attempt, nowNanos);
        if (start.isEmpty()) {
            return;
        }
        if (start.get().atUsualSpeed && !failed) {
            throughputLimit.onCompleted(start.get().inFlight, serviceTimeNanos);
        }
        errorRatio += ERROR_WEIGHT * ((failed ? 1 : 0) - errorRatio);
        if (!failed) {
            // Fast failures must not lower the estimated service time.
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
        if (newCapacity.incarnation() != capacity.incarnation()) {
            // The failures were those of an earlier process of the target.
            errorRatio = 0;
        }
        capacity = newCapacity;
    }

    @Override
    public void onConfiguration(
            PolicyDefinition policy, Map<String, CallClassDefinition> newClasses, long nowNanos) {
        queueLimitNanos = policy.queueLimitMillis() * NANOS_PER_MILLI;
        callClasses = OrderedCopies.copyOf(newClasses);
        queue.setDefinitions(newClasses);
        if (policy.coldCallsPerSecond() != coldRateLimit.callsPerSecond()) {
            coldRateLimit = new ColdStartRateLimit(policy.coldCallsPerSecond(), nowNanos);
        }
    }

    @Override
    public void onAccounts(Collection<AccountDefinition> accounts) {
        queue.setAccountWeights(AccountWeights.of(accounts));
    }

    @Override
    public double servedShareOfWorstAccounts(long nowNanos) {
        return servedShares.worstTenth(nowNanos);
    }

    @Override
    public int inFlight() {
        return startedByAttempt.size();
    }

    @Override
    public int queued() {
        return queue.size();
    }

    @Override
    public int limit() {
        return ramp.bound(
                reportedSlowdown.isReported()
                        ? throughputLimit.limit(usableSlots())
                        : usableSlots());
    }

    @Override
    public long serviceTimeNanos(long nowNanos) {
        estimate.advance(inFlight(), nowNanos);
        return reportedSlowdown.slowdown(nowNanos) > 0
                ? (long) (estimate.baselineNanos() / reportedSlowdown.meanAtStart())
                : (long) estimate.significantNanos();
    }

    @Override
    public void onSlowdown(double slowdown, long nowNanos) {
        reportedSlowdown.onSlowdown(slowdown, nowNanos);
    }

    @Override
    public double slowdown(long nowNanos) {
        return reportedSlowdown.slowdown(nowNanos);
    }

    @Override
    public boolean isSlow(long nowNanos) {
        return reportedSlowdown.isSlow(nowNanos);
    }

    @Override
    public boolean isHolding(long nowNanos) {
        return reportedSlowdown.isInSlowPhase(nowNanos);
    }

    @Override
    public double errorRatio() {
        return errorRatio;
    }

    private AdmissionDecision decide(CallDescription call, long nowNanos) {
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
        if (free && coldRateAllowsStart(nowNanos)) {
            start(call, nowNanos);
            return AdmissionDecision.start();
        }
        if (!call.mayQueue() || (isHolding(nowNanos) && mayMoveAgain(call))) {
            return AdmissionDecision.refuse(ErrorCode.GUARD_BUSY);
        }
        double waitNanos = expectedWaitNanos(call);
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

    private int usableSlots() {
        return Math.min(capacity.slots(), capacity.connections());
    }

    /**
     * Returns whether a queued call may start above the limit as a probe. Service times of a cold
     * target, or of one that does not report its slowdown, are not comparable.
     */
    private boolean tryProbeAboveLimit() {
        boolean atLimit = inFlight() == limit();
        return atLimit
                && reportedSlowdown.isReported()
                && !capacity.cold()
                && throughputLimit.tryProbe(inFlight());
    }

    /**
     * Returns the maximum number of calls in flight at which a call that can run elsewhere is
     * started.
     */
    private int preferredLimit(long nowNanos) {
        double slowdown = reportedSlowdown.slowdown(nowNanos);
        return slowdown > 0
                ? AdaptiveLimit.limit(limit(), slowdown)
                : AdaptiveLimit.limit(limit(), estimate);
    }

    /**
     * Returns the longest expected wait, in nanoseconds, at which a call is still queued. First
     * attempts are refused at half the policy's limit: near capacity, a longer queue only makes
     * every call late. Calls that have already spent time at other guards are queued instead, since
     * their refusal would reach the caller late.
     */
    private double waitLimitNanos(CallDescription call) {
        if (call.attempt() >= RetryStrategy.MIN_ATTEMPT_AFTER_QUEUEING) {
            return Double.POSITIVE_INFINITY;
        }
        return call.attempt() == 0
                ? FIRST_WAIT_RATIO * queueLimitNanos
                : RETRY_WAIT_RATIO * queueLimitNanos;
    }

    /**
     * Moves queued calls without enough time left to the expired ones. If started, they would be
     * abandoned at their deadline with an unknown outcome.
     */
    private void expireUnfinishable(long nowNanos) {
        long workNanos = (long) (SHORT_CALL_RATIO * estimate.recentNanos());
        expired.addAll(queue.removeDueBefore(nowNanos + workNanos));
    }

    private boolean isMovable(CallDescription call) {
        return estimate.isSlow() && mayMoveAgain(call);
    }

    private static boolean mayMoveAgain(CallDescription call) {
        return call.attempt() < FIRST_UNMOVABLE_ATTEMPT;
    }

    private void countRefusal(CallDescription call, long nowNanos) {
        servedShares.onRefused(AccountWeights.nameOf(call.account()), nowNanos);
    }

    /**
     * Returns the expected wait of a call, in nanoseconds. It is long for an account that exceeds
     * its share, since its own calls are ahead, so that such an account is refused first.
     */
    private double expectedWaitNanos(CallDescription call) {
        int limit = limit();
        String account = AccountWeights.nameOf(call.account());
        double queuedAhead = queue.queuedAhead(call.callClass(), account);
        double ahead = queuedAhead + Math.max(0, inFlight() - limit) + 1;
        double waitNanos = ahead * estimate.recentNanos() / limit;
        return capacity.cold() ? Math.max(waitNanos, coldRateLimit.waitNanos(ahead)) : waitNanos;
    }

    private boolean exceedsClassShare(String callClass) {
        CallClassDefinition definition = callClasses.get(callClass);
        if (definition == null || definition.maxShare() >= 1) {
            return false;
        }
        double allowed = Math.max(1, Math.floor(definition.maxShare() * limit()));
        return inFlightByClass.getOrDefault(callClass, 0) >= allowed;
    }

    private boolean coldRateAllowsStart(long nowNanos) {
        return coldRateLimit.allows(nowNanos) || !capacity.cold();
    }

    private void start(CallDescription call, long nowNanos) {
        servedShares.onServed(AccountWeights.nameOf(call.account()), nowNanos);
        coldRateLimit.onStart();
        reportedSlowdown.onStarted(nowNanos);
        throughputLimit.onStarted();
        StartedAttempt start =
                new StartedAttempt(call.callClass(), inFlight() + 1, isAtUsualSpeed(nowNanos));
        startedByAttempt.put(new AttemptKey(call.id(), call.attempt()), start);
        inFlightByClass.merge(call.callClass(), 1, Integer::sum);
    }

    private boolean isAtUsualSpeed(long nowNanos) {
        double slowdown = reportedSlowdown.slowdown(nowNanos);
        return slowdown > 0 && slowdown < AdaptiveLimit.TOLERATED_SLOWDOWN && !capacity.cold();
    }

    private Optional<StartedAttempt> remove(CallId id, int attempt, long nowNanos) {
        estimate.advance(inFlight(), nowNanos);
        Optional<StartedAttempt> start =
                Optional.ofNullable(startedByAttempt.remove(new AttemptKey(id, attempt)));
        start.ifPresent(ended -> inFlightByClass.merge(ended.callClass, -1, Integer::sum));
        return start;
    }

    /**
     * The conditions under which an attempt in flight started.
     *
     * @param callClass the class of the call
     * @param inFlight the number of calls in flight at its start, including itself
     * @param atUsualSpeed whether the target reported its usual speed and was warm
     */
    private record StartedAttempt(String callClass, int inFlight, boolean atUsualSpeed) {}

    /** One attempt of a call. */
    private record AttemptKey(CallId id, int attempt) {}
}
