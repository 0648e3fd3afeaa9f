/** Ownership of {@code Idempotency-Key} values: who may run a call, and handing keys over. */
package org.dogwoodwood.node.keys;
