/** Merges the log lines of several nodes about one request. */
package org.dogwoodwood.cli.trace;
