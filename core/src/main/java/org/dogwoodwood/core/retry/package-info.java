/** Retries, hedges and the budget that they share. */
package org.dogwoodwood.core.retry;
