/** The results of the benchmark and their output formats. */
package org.dogwoodwood.benchmarks.report;
