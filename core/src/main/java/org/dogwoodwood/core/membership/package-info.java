/** Membership: failure detection, dissemination of updates by gossip, and data centre orders. */
package org.dogwoodwood.core.membership;
