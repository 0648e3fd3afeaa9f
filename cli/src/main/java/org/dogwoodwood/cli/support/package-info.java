/** Utilities shared by several parts of the tool. */
package org.dogwoodwood.cli.support;
