/** Log events with stable numbers, and the writer of their lines. */
package org.dogwoodwood.node.logging;
