/** Stand-ins and scenarios that show faults of dogwoodwood from the outside. */
package review;
