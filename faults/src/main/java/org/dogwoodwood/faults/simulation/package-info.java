/** Deterministic simulation of a cluster that runs the core classes on a virtual clock. */
package org.dogwoodwood.faults.simulation;
