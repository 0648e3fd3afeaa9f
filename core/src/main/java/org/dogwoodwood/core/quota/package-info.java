/** Quotas of client accounts over all nodes. */
package org.dogwoodwood.core.quota;
