package org.dogwoodwood.faults.invariant;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.dogwoodwood.faults.matrix.FaultRun;
import org.dogwoodwood.faults.simulation.Policies;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Verifies that each checker detects a violation, and reports none with the correct policies. */
class InvariantsTests {

    private static final long SEED = 3;

    @ParameterizedTest
    @EnumSource(BrokenPolicies.class)
    void checkerDetectsBrokenPolicy(BrokenPolicies broken) {
        FaultRun.Result result = FaultRun.run(List.of(broken.fault()), SEED, broken.policies());
        assertThat(result.violations())
                .extracting(Violation::invariant)
                .contains(broken.invariant());
    }

    @ParameterizedTest
    @EnumSource(BrokenPolicies.class)
    void sameRunWithCorrectPoliciesHasNoViolations(BrokenPolicies broken) {
        assertThat(FaultRun.run(List.of(broken.fault()), SEED, new Policies()).violations())
                .isEmpty();
    }

    @Test
    void checkersAreOrderedByInvariantNumber() {
        assertThat(Invariants.all())
                .extracting(InvariantChecker::number)
                .containsExactly(1, 2, 3, 4, 5, 6, 7, 8, 9);
    }
}
