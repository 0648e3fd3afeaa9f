/**
 * An in-memory stand-in for the platform log that speaks its published protocol and injects faults
 * on request.
 */
package org.dogwoodwood.standins.log;
