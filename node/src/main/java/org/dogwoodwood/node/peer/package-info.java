/** Connections between nodes, which carry calls, answers, load reports and control frames. */
package org.dogwoodwood.node.peer;
