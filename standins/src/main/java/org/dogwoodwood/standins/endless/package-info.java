/** A server with endless responses, for tests of client-side limits. */
package org.dogwoodwood.standins.endless;
