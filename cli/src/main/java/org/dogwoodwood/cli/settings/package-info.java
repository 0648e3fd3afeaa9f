/** The settings of the tool: the addresses of the platform log and the nodes. */
package org.dogwoodwood.cli.settings;
