package org.dogwoodwood.faults.simulation;

import java.util.Map;
import java.util.function.LongPredicate;
import org.dogwoodwood.core.admission.AdmissionController;
import org.dogwoodwood.core.admission.DefaultAdmissionController;
import org.dogwoodwood.core.admission.TargetCapacity;
import org.dogwoodwood.core.calls.AttemptId;
import org.dogwoodwood.core.calls.CallRegistry;
import org.dogwoodwood.core.calls.CallState;
import org.dogwoodwood.core.configuration.PolicyDefinition;
import org.dogwoodwood.core.idempotency.DefaultIdempotencyRegistry;
import org.dogwoodwood.core.idempotency.IdempotencyRegistry;
import org.dogwoodwood.core.idempotency.KeyOwnership;
import org.dogwoodwood.core.measurement.MeasurementBudget;
import org.dogwoodwood.core.membership.DataCentreOrders;
import org.dogwoodwood.core.model.Outcome;

/**
 * The decisions of the core that a run uses. Tests replace one of them by a faulty one to verify
 * that the checkers detect the violation.
 */
public class Policies {

    /** Returns the policy of the only service. */
    public PolicyDefinition policy() {
        return PolicyDefinition.withDefaults("default");
    }

    /**
     * Creates the poll budget of a guard; the predicate takes a time in nanoseconds and returns
     * whether a poll may be sent.
     */
    public LongPredicate measurementBudget(long nowNanos) {
        MeasurementBudget budget = MeasurementBudget.withDefaults(nowNanos);
        return budget::tryPoll;
    }

    /** Creates the admission controller of a guard. */
    public AdmissionController admissionController(TargetCapacity capacity, long nowNanos) {
        return DefaultAdmissionController.create(policy(), Map.of(), capacity, nowNanos);
    }

    /** Returns the registry that decides on calls with a key at a guard. */
    public IdempotencyRegistry idempotencyRegistry(
            DefaultIdempotencyRegistry registry, KeyOwnership ownership) {
        return registry;
    }

    /** Registers an attempt at a guard and returns its state. */
    public CallState registerAttempt(CallRegistry calls, AttemptId id, long nowNanos) {
        return calls.begin(id, nowNanos);
    }

    /** Returns whether a data centre is out, so that its guards must refuse work. */
    public boolean isOut(DataCentreOrders orders, String dataCentre) {
        return orders.isOut(dataCentre);
    }

    /** Returns whether a guard must refuse work because it is leaving or its target is draining. */
    public boolean refusesWork(boolean leaving, boolean draining) {
        return leaving || draining;
    }

    /** Returns whether a leaving node must wait for requests in flight or for a handover. */
    public boolean mustWaitFor(int inFlight) {
        return inFlight > 0;
    }

    /** Returns the outcome reported to a caller when all attempts ended without an answer. */
    public Outcome outcomeForCaller(Outcome lastOutcome, boolean mayHaveRun) {
        return mayHaveRun ? Outcome.UNKNOWN : lastOutcome;
    }

    /** Returns whether an answer to the attempt {@code actual} belongs to {@code expected}. */
    public boolean matches(AttemptId expected, AttemptId actual) {
        return expected.equals(actual);
    }

    /** Returns whether a node applies a version while another one is in force. */
    public boolean appliesVersion(long newest, long inForce) {
        return newest > inForce;
    }
}
