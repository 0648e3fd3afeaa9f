/** Ordering of work on an event loop. */
package org.dogwoodwood.node.loop;
