package org.dogwoodwood.faults.invariant;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongPredicate;
import org.dogwoodwood.core.admission.AdmissionController;
import org.dogwoodwood.core.admission.AdmissionDecision;
import org.dogwoodwood.core.admission.TargetCapacity;
import org.dogwoodwood.core.calls.AttemptId;
import org.dogwoodwood.core.configuration.CallClassDefinition;
import org.dogwoodwood.core.configuration.PolicyDefinition;
import org.dogwoodwood.core.idempotency.DefaultIdempotencyRegistry;
import org.dogwoodwood.core.idempotency.IdempotencyRegistry;
import org.dogwoodwood.core.idempotency.KeyDecision;
import org.dogwoodwood.core.idempotency.KeyOwnership;
import org.dogwoodwood.core.membership.DataCentreOrders;
import org.dogwoodwood.core.model.CallDescription;
import org.dogwoodwood.core.model.CallId;
import org.dogwoodwood.core.model.Outcome;
import org.dogwoodwood.core.model.TargetAnswer;
import org.dogwoodwood.faults.matrix.Fault;
import org.dogwoodwood.faults.matrix.FaultMatrix;
import org.dogwoodwood.faults.simulation.Policies;
import org.dogwoodwood.faults.simulation.Step;

/** Policies that each violate one invariant. */
enum BrokenPolicies {
    POLLS_WITHOUT_BUDGET(1) {
        @Override
        Policies policies() {
            return new Policies() {
                @Override
                public LongPredicate measurementBudget(long nowNanos) {
                    return now -> true;
                }
            };
        }
    },
    ADMITS_WITHOUT_RAMP(2) {
        @Override
        Policies policies() {
            return new Policies() {
                @Override
                public AdmissionController admissionController(
                        TargetCapacity capacity, long nowNanos) {
                    return new UnlimitedAdmission(super.admissionController(capacity, nowNanos));
                }
            };
        }
    },
    IGNORES_DATA_CENTRE_ORDERS(3) {
        @Override
        Policies policies() {
            return new Policies() {
                @Override
                public boolean isOut(DataCentreOrders orders, String dataCentre) {
                    return false;
                }
            };
        }
    },
    MATCHES_ANSWERS_BY_ATTEMPT_NUMBER(4) {
        @Override
        Policies policies() {
            return new Policies() {
                @Override
                public boolean matches(AttemptId expected, AttemptId actual) {
                    return expected.attempt() == actual.attempt();
                }
            };
        }
    },
    REPORTS_EVERY_ERROR_AS_NOT_RUN(5) {
        @Override
        Policies policies() {
            return new Policies() {
                @Override
                public Outcome outcomeForCaller(Outcome lastOutcome, boolean mayHaveRun) {
                    return Outcome.NOT_RUN;
                }
            };
        }
    },
    IGNORES_EARLIER_RUNS_OF_A_KEY(6) {
        @Override
        Policies policies() {
            return new Policies() {
                @Override
                public IdempotencyRegistry idempotencyRegistry(
                        DefaultIdempotencyRegistry registry, KeyOwnership ownership) {
                    return new StatelessRegistry();
                }
            };
        }
    },
    IGNORES_DRAINING(7) {
        @Override
        Policies policies() {
            return new Policies() {
                @Override
                public boolean refusesWork(boolean leaving, boolean draining) {
                    return false;
                }
            };
        }
    },
    STOPS_WITHOUT_WAITING(8) {
        @Override
        Policies policies() {
            return new Policies() {
                @Override
                public boolean mustWaitFor(int inFlight) {
                    return false;
                }
            };
        }
    },
    APPLIES_ONLY_THE_FIRST_VERSION(9) {
        @Override
        Policies policies() {
            return new Policies() {
                @Override
                public boolean appliesVersion(long newest, long inForce) {
                    return newest == 1;
                }
            };
        }
    };

    private final int invariant;

    BrokenPolicies(int invariant) {
        this.invariant = invariant;
    }

    int invariant() {
        return invariant;
    }

    abstract Policies policies();

    /** Returns the fault that exposes the broken decision. */
    FaultMatrix.Cell fault() {
        // The target drains for 3 s, so a guard that ignores it starts work after the limit of 2 s.
        return this == REPORTS_EVERY_ERROR_AS_NOT_RUN
                ? new FaultMatrix.Cell(Fault.TARGET_CRASH, Step.QUEUED)
                : new FaultMatrix.Cell(Fault.DRAIN, Step.CHOOSING);
    }

    private static final class StatelessRegistry implements IdempotencyRegistry {

        @Override
        public KeyDecision begin(CallDescription call, long nowNanos) {
            return KeyDecision.run();
        }

        @Override
        public void complete(CallDescription call, TargetAnswer answer, long nowNanos) {}

        @Override
        public void release(CallDescription call) {}

        @Override
        public void markInDoubt(CallDescription call, long nowNanos) {}
    }

    private static final class UnlimitedAdmission implements AdmissionController {

        private final AdmissionController limited;

        UnlimitedAdmission(AdmissionController limited) {
            this.limited = limited;
        }

        @Override
        public AdmissionDecision offer(CallDescription call, long nowNanos) {
            return AdmissionDecision.start();
        }

        @Override
        public Optional<CallDescription> nextStartable(long nowNanos) {
            return Optional.empty();
        }

        @Override
        public List<CallDescription> removeExpired(long nowNanos) {
            return List.of();
        }

        @Override
        public List<CallDescription> removeMovable(long nowNanos) {
            return List.of();
        }

        @Override
        public void onEnded(
                CallId id, int attempt, long serviceTimeNanos, boolean failed, long nowNanos) {}

        @Override
        public void onCancelled(CallId id, int attempt, long nowNanos) {}

        @Override
        public boolean cancelQueued(CallId id, int attempt) {
            return false;
        }

        @Override
        public void onCapacity(TargetCapacity capacity, long nowNanos) {
            limited.onCapacity(capacity, nowNanos);
        }

        @Override
        public void onConfiguration(
                PolicyDefinition policy,
                Map<String, CallClassDefinition> callClasses,
                long nowNanos) {
            limited.onConfiguration(policy, callClasses, nowNanos);
        }

        @Override
        public int inFlight() {
            return 0;
        }

        @Override
        public int queued() {
            return 0;
        }

        @Override
        public int limit() {
            return limited.limit();
        }

        @Override
        public long serviceTimeNanos(long nowNanos) {
            return limited.serviceTimeNanos(nowNanos);
        }

        @Override
        public double errorRatio() {
            return 0;
        }
    }
}
