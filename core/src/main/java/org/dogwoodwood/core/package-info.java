/** Decision logic without input or output, which can be embedded as a library. */
package org.dogwoodwood.core;
