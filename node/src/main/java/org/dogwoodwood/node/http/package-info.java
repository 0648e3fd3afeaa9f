/** HTTP support that the ingress and the guard share. */
package org.dogwoodwood.node.http;
