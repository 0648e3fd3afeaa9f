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
 * The decisions that a run takes from the core. Tests replace one of them by a broken one to show
 * that the invariants notice.
 */
public class Policies {

    /** Returns the policy of the only service. */
    public PolicyDefinition policy() {
        return PolicyDefinition.withDefaults("default");
    }

    /** Returns what limits the polls of one guard. */
    public LongPredicate measurementBudget(long nowNanos) {
        MeasurementBudget budget = MeasurementBudget.withDefaults(nowNanos);
        return budget::tryPoll;
    }

    /** Returns what admits calls at one guard. */
    public AdmissionController admissionController(TargetCapacity capacity, long nowNanos) {
        return DefaultAdmissionController.create(policy(), Map.of(), capacity, nowNanos);
    }

    /** Returns what a guard asks about keys. */
    public IdempotencyRegistry idempotencyRegistry(
            DefaultIdempotencyRegistry registry, KeyOwnership ownership) {
        return registry;
    }

    /** Registers an attempt at a guard. */
    public CallState registerAttempt(CallRegistry calls, AttemptId id, long nowNanos) {
        return calls.begin(id, nowNanos);
    }

    /** Returns whether a guard must refuse work because its data centre is out. */
    public boolean isOut(DataCentreOrders orders, String dataCentre) {
        return orders.isOut(dataCentre);
    }

    /** Returns whether a guard must refuse work because it leaves or its target drains. */
    public boolean refusesWork(boolean leaving, boolean draining) {
        return leaving || draining;
    }

    /** Returns whether a leaving node waits for a request in flight. */
    public boolean mustWaitFor(int inFlight) {
        return inFlight > 0;
    }

    /** Returns the outcome that a caller is told when attempts ended without an answer. */
    public Outcome outcomeForCaller(Outcome last, boolean mayHaveRun) {
        return mayHaveRun ? Outcome.UNKNOWN : last;
    }

    /** Returns whether an answer belongs to an attempt. */
    public boolean matches(AttemptId expected, AttemptId actual) {
        return expected.equals(actual);
    }

    /** Returns whether a node applies a version that it learns while another one is in force. */
    public boolean appliesVersion(long learnt, long inForce) {
        return learnt > inForce;
    }
}
