/** The guard, which admits and sends all calls to the target beside this node. */
package org.dogwoodwood.node.guard;
