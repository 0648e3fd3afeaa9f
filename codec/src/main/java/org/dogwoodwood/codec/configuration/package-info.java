/** Encodings of the configuration. */
package org.dogwoodwood.codec.configuration;
