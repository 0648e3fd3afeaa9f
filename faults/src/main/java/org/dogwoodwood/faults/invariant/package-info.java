/** Checkers for the nine invariants of the design, applied to the journal of a run. */
package org.dogwoodwood.faults.invariant;
