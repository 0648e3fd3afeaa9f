/** The settings of one node, read from a TOML file. */
package org.dogwoodwood.node.settings;
