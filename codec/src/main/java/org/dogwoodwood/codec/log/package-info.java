/** JSON records on the platform log. */
package org.dogwoodwood.codec.log;
