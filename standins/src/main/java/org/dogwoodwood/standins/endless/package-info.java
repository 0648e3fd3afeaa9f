/** A server whose answers have no end, for tests of the limits that a caller keeps. */
package org.dogwoodwood.standins.endless;
