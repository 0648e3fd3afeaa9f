/** The load tool: sends calls and checks that every answer is complete and belongs to its call. */
package org.dogwoodwood.standins.caller;
