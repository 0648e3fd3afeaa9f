/** Ejection of failing targets, and requests that crash their targets. */
package org.dogwoodwood.core.health;
