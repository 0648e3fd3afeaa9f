/** Utilities shared by the stand-ins. */
package org.dogwoodwood.standins.support;
