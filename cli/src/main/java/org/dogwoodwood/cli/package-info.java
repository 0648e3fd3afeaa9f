/** The command-line tool for operators. */
package org.dogwoodwood.cli;
