/** Benchmarks of load-balancing decisions in simulated systems. */
package org.dogwoodwood.benchmarks;
