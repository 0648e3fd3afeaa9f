/** The admin interfaces of nodes. */
package org.dogwoodwood.cli.node;
