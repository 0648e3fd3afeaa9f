/** The bound on the memory for the bodies of requests. */
package org.dogwoodwood.core.bodies;
