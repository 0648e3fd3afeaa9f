package org.dogwoodwood.core.admission;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.dogwoodwood.core.configuration.AccountDefinition;
import org.dogwoodwood.core.configuration.CallClassDefinition;
import org.dogwoodwood.core.configuration.PolicyDefinition;
import org.dogwoodwood.core.model.CallDescription;
import org.dogwoodwood.core.model.CallId;

/** Decides which calls one target runs, and when. Implementations need not be thread-safe. */
public interface AdmissionController {

    /**
     * Offers a call that has just arrived.
     *
     * @param call the call, not null
     * @param nowNanos the current time on the monotonic clock, in nanoseconds
     * @return whether to start the call now, keep it until {@link #nextStartable}, or refuse it
     */
    AdmissionDecision offer(CallDescription call, long nowNanos);

    /**
     * Removes and returns the next queued call that may start now, or empty if there is none. The
     * returned call counts as in flight.
     *
     * @param nowNanos the current time in nanoseconds
     */
    Optional<CallDescription> nextStartable(long nowNanos);

    /**
     * Removes and returns the queued calls that can no longer finish before their deadline; they
     * were not run.
     *
     * @param nowNanos the current time in nanoseconds
     */
    List<CallDescription> removeExpired(long nowNanos);

    /**
     * Removes and returns the queued calls that should be sent to another target because this one
     * has become slow or because they have waited too long; they were not run.
     *
     * @param nowNanos the current time in nanoseconds
     */
    List<CallDescription> removeMovable(long nowNanos);

    /**
     * Records the end of a call that was in flight.
     *
     * @param id the call id
     * @param attempt the attempt number
     * @param serviceTimeNanos the service time at the target, in nanoseconds
     * @param failed whether the target failed to answer or answered with a server error
     * @param nowNanos the current time in nanoseconds
     */
    void onEnded(CallId id, int attempt, long serviceTimeNanos, boolean failed, long nowNanos);

    /**
     * Records the cancellation of a call that was in flight, which is no evidence about the target.
     *
     * @param id the call id
     * @param attempt the attempt number
     * @param nowNanos the current time in nanoseconds
     */
    void onCancelled(CallId id, int attempt, long nowNanos);

    /**
     * Removes a queued call.
     *
     * @param id the call id
     * @param attempt the attempt number
     * @return whether the call was still queued, and so was not run
     */
    boolean cancelQueued(CallId id, int attempt);

    /**
     * Updates the capacity that the target announces or that its guard has observed.
     *
     * @param capacity the capacity, not null
     * @param nowNanos the current time in nanoseconds
     */
    void onCapacity(TargetCapacity capacity, long nowNanos);

    /**
     * Updates the current slowdown of the target.
     *
     * @param slowdown the current service time as a multiple of the usual one, above 0
     * @param nowNanos the current time in nanoseconds
     */
    default void onSlowdown(double slowdown, long nowNanos) {}

    /**
     * Returns the current service time of the target as a multiple of the usual one, or 0 if the
     * target has not reported it recently.
     *
     * @param nowNanos the current time in nanoseconds
     */
    default double slowdown(long nowNanos) {
        return 0;
    }

    /**
     * Returns whether a call that starts now takes several times as long as usual.
     *
     * @param nowNanos the current time in nanoseconds
     */
    default boolean isSlow(long nowNanos) {
        return false;
    }

    /**
     * Returns whether queued calls are held until a slow phase of the target ends.
     *
     * @param nowNanos the current time in nanoseconds
     */
    default boolean isHolding(long nowNanos) {
        return false;
    }

    /**
     * Applies a new policy and new call classes; calls in flight and in the queue are kept.
     *
     * @param policy the policy of the service, not null
     * @param callClasses the call classes by name, not null; classes without a definition have
     *     weight 1 and may use the whole target
     * @param nowNanos the current time in nanoseconds
     */
    void onConfiguration(
            PolicyDefinition policy, Map<String, CallClassDefinition> callClasses, long nowNanos);

    /**
     * Applies the client accounts, whose limits are their weights for sharing the target; calls in
     * flight and in the queue are kept.
     *
     * @param accounts the accounts, not null
     */
    default void onAccounts(Collection<AccountDefinition> accounts) {}

    /**
     * Returns the mean share of the calls of the worst tenth of the accounts that were started, of
     * those that were started or finally refused here in the last 10 to 20 s.
     *
     * @param nowNanos the current time in nanoseconds
     */
    default double servedShareOfWorstAccounts(long nowNanos) {
        return 1;
    }

    /** Returns the number of calls in flight at the target. */
    int inFlight();

    /** Returns the number of calls in the queue. */
    int queued();

    /** Returns the current maximum number of calls in flight. */
    int limit();

    /**
     * Returns the current mean service time, in nanoseconds; it rises as soon as calls in flight
     * take longer than usual.
     *
     * @param nowNanos the current time in nanoseconds
     */
    long serviceTimeNanos(long nowNanos);

    /** Returns the share of recent calls that failed, from 0 to 1. */
    double errorRatio();
}
