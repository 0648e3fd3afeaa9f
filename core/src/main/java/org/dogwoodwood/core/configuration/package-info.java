/** The named objects of the configuration, their validation, and the acceptance of versions. */
package org.dogwoodwood.core.configuration;
