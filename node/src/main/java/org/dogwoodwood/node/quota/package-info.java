/** The quotas of client accounts: exchanges asks, loans and grants with the other nodes. */
package org.dogwoodwood.node.quota;
