package org.dogwoodwood.core.admission;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.dogwoodwood.core.configuration.CallClassDefinition;
import org.dogwoodwood.core.configuration.PolicyDefinition;
import org.dogwoodwood.core.model.CallDescription;
import org.dogwoodwood.core.model.CallId;

/** Decides which calls one target works on; used by one thread. */
public interface AdmissionController {

    /**
     * Offers a call that has just arrived.
     *
     * @param call the call, not null
     * @param nowNanos the present time on the monotonic clock, in nanoseconds
     * @return whether to start the call now, keep it until {@link #nextStartable}, or refuse it
     */
    AdmissionDecision offer(CallDescription call, long nowNanos);

    /**
     * Removes and returns the next queued call that may start now, or empty if there is none. The
     * call counts as in flight from here on.
     *
     * @param nowNanos the present time in nanoseconds
     */
    Optional<CallDescription> nextStartable(long nowNanos);

    /**
     * Removes and returns the queued calls that can no longer finish in time; they were not run.
     *
     * @param nowNanos the present time in nanoseconds
     */
    List<CallDescription> removeExpired(long nowNanos);

    /**
     * Removes and returns the queued calls that should be sent elsewhere because the target has
     * become slow or because they have waited for long; they were not run.
     *
     * @param nowNanos the present time in nanoseconds
     */
    List<CallDescription> removeMovable(long nowNanos);

    /**
     * Ends a call that was in flight.
     *
     * @param id the call id
     * @param attempt the attempt
     * @param serviceTimeNanos the time that the target took, in nanoseconds
     * @param failed whether the target failed to answer or answered with a server error
     * @param nowNanos the present time in nanoseconds
     */
    void onEnded(CallId id, int attempt, long serviceTimeNanos, boolean failed, long nowNanos);

    /**
     * Ends a call that was in flight and has been cancelled, which tells nothing about the target.
     *
     * @param id the call id
     * @param attempt the attempt
     * @param nowNanos the present time in nanoseconds
     */
    void onCancelled(CallId id, int attempt, long nowNanos);

    /**
     * Removes a queued call.
     *
     * @param id the call id
     * @param attempt the attempt
     * @return whether the call was still queued, and so was not run
     */
    boolean cancelQueued(CallId id, int attempt);

    /**
     * Takes in what the target announces or what its guard has observed.
     *
     * @param capacity the capacity, not null
     * @param nowNanos the present time in nanoseconds
     */
    void onCapacity(TargetCapacity capacity, long nowNanos);

    /**
     * Takes in how long work takes at the target now.
     *
     * @param slowdown the time as a multiple of the usual time, above 0
     * @param nowNanos the present time in nanoseconds
     */
    default void onSlowdown(double slowdown, long nowNanos) {}

    /**
     * Returns how long work takes at the target now, as a multiple of the usual time; 0 if the
     * target has not told it shortly before.
     *
     * @param nowNanos the present time in nanoseconds
     */
    default double slowdown(long nowNanos) {
        return 0;
    }

    /**
     * Returns whether work that starts now takes several times as long as usual.
     *
     * @param nowNanos the present time in nanoseconds
     */
    default boolean isSlow(long nowNanos) {
        return false;
    }

    /**
     * Returns whether queued calls wait for the end of a slow phase of the target.
     *
     * @param nowNanos the present time in nanoseconds
     */
    default boolean isHolding(long nowNanos) {
        return false;
    }

    /**
     * Takes in another policy or other classes; calls in flight and in the queue are kept.
     *
     * @param policy the policy of the service, not null
     * @param callClasses the classes by name, not null; others have weight 1 and the whole target
     * @param nowNanos the present time in nanoseconds
     */
    void onConfiguration(
            PolicyDefinition policy, Map<String, CallClassDefinition> callClasses, long nowNanos);

    /** Returns the number of calls that the target is working on. */
    int inFlight();

    /** Returns the number of calls in the queue. */
    int queued();

    /** Returns the number of calls that may be in flight now. */
    int limit();

    /**
     * Returns the present mean service time, in nanoseconds; it rises at once when calls in flight
     * take longer than usual.
     *
     * @param nowNanos the present time in nanoseconds
     */
    long serviceTimeNanos(long nowNanos);

    /** Returns the recent share of calls that failed, from 0 to 1. */
    double errorRatio();
}
