/** Admission at the guard: limits, cold-start ramp and queue of one target. */
package org.dogwoodwood.core.admission;
