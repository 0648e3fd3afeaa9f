/** The bound on the memory that a process uses for the bodies of requests and answers. */
package org.dogwoodwood.node.memory;
