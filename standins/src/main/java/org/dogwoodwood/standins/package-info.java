/** Small stand-ins for the platform's log service, targets and callers. */
package org.dogwoodwood.standins;
