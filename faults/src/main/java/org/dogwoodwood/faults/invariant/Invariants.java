package org.dogwoodwood.faults.invariant;

import java.util.List;
import org.dogwoodwood.faults.simulation.Journal;

/** All invariants of the design. */
public final class Invariants {

    private static final List<InvariantChecker> ALL =
            List.of(
                    new MeasurementBudgetChecker(),
                    new ColdStartChecker(),
                    new DataCentreOutChecker(),
                    new OwnResponseChecker(),
                    new NotRunChecker(),
                    new AtMostOnceChecker(),
                    new LeavingChecker(),
                    new GracefulShutdownChecker(),
                    new ConfigurationInForceChecker());

    private Invariants() {}

    /** Returns the nine checkers, ordered by the number of the invariant. */
    public static List<InvariantChecker> all() {
        return ALL;
    }

    /** Returns the violations of all invariants. */
    public static List<Violation> check(Journal journal) {
        return ALL.stream().flatMap(checker -> checker.check(journal).stream()).toList();
    }
}
