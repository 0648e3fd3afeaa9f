package org.dogwoodwood.faults.invariant;

import java.util.List;
import org.dogwoodwood.faults.simulation.Journal;

/** Checks one invariant of the design on the journal of a whole run. */
public interface InvariantChecker {

    /** Returns the number of the invariant in the design, from 1 to 9. */
    int number();

    /** Returns all violations of the invariant. */
    List<Violation> check(Journal journal);
}
