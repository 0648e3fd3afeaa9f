/** The admin port: health, metrics, target announcements and requests of operators. */
package org.dogwoodwood.node.admin;
