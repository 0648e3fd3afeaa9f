/** At-most-once execution of attempts, and retention of their answers for repeated requests. */
package org.dogwoodwood.core.calls;
