/** JMH microbenchmarks of single load-balancing decisions. */
package org.dogwoodwood.benchmarks.micro;
