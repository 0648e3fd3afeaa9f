/** Metrics of the node, in the Prometheus text format. */
package org.dogwoodwood.node.metrics;
