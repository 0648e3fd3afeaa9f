/** Routes of calls and the immutable routing table of an ingress. */
package org.dogwoodwood.core.routing;
