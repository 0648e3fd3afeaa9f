/** The ingress: accepts callers' HTTP requests and sends each of them to a guard. */
package org.dogwoodwood.node.ingress;
