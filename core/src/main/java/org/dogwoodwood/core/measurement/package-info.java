/** The budget for polls and probes of targets. */
package org.dogwoodwood.core.measurement;
