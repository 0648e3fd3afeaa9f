/**
 * Runs real node processes beside targets that send answers twice, lose, cut and spoil them, and
 * checks each answer that a client receives against what the targets did.
 */
package org.dogwoodwood.soak;
