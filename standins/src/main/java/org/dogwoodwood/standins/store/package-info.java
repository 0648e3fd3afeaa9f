/** A stand-in of the users' platform store, with the faults that tests need. */
package org.dogwoodwood.standins.store;
