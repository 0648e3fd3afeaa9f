/** Simulated runs that inject faults at each step and check the invariants of the design. */
package org.dogwoodwood.faults;
