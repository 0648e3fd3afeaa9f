/** Measures how heap, message sizes and CPU time grow with the size of the system. */
package org.dogwoodwood.benchmarks.slopes;
