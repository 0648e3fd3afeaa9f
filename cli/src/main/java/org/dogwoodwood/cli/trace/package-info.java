/** Puts the log lines of several nodes together to the story of one request. */
package org.dogwoodwood.cli.trace;
