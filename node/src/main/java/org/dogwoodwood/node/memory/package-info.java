/** Bounds on the memory for the bodies of requests and answers and on the descriptors. */
package org.dogwoodwood.node.memory;
