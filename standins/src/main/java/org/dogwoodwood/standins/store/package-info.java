/** A stand-in for the users' platform store, with fault injection for tests. */
package org.dogwoodwood.standins.store;
