/** The bound on what the connections of callers may hold. */
package org.dogwoodwood.core.connections;
