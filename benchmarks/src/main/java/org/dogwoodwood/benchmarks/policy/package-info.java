/** The load-balancing policies that the benchmark compares. */
package org.dogwoodwood.benchmarks.policy;
