/** The stand-in target: an HTTP server with slots, cold start, faults and counted executions. */
package org.dogwoodwood.standins.target;
