/** The control plane of a node: membership, configuration and data centre orders. */
package org.dogwoodwood.node.control;
