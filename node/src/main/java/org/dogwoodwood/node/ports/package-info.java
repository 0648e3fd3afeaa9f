/** Opens the listening ports of a process and waits for those that are in use. */
package org.dogwoodwood.node.ports;
