/** Publications on the platform log. */
package org.dogwoodwood.cli.log;
