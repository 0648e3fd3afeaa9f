/** The subcommands of the tool. */
package org.dogwoodwood.cli.command;
