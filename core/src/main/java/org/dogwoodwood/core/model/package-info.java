/** Immutable value types shared by all packages of the core. */
package org.dogwoodwood.core.model;
