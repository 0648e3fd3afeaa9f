/** At-most-once execution of calls that share an {@code Idempotency-Key}. */
package org.dogwoodwood.core.idempotency;
