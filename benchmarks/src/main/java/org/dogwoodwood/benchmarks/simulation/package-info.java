/** Virtual time, the simulated targets and network, and the generated calls. */
package org.dogwoodwood.benchmarks.simulation;
