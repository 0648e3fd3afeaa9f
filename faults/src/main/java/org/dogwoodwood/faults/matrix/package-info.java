/** Runs each fault at each step at which it can occur, and seeded pairs of faults. */
package org.dogwoodwood.faults.matrix;
