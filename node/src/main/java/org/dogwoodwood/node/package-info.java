/** The node daemon. */
package org.dogwoodwood.node;
