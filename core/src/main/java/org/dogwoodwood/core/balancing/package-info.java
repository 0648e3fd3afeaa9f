/** Load balancing: the choice of a target from load reports that may be stale. */
package org.dogwoodwood.core.balancing;
