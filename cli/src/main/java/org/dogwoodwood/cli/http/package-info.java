/** HTTP calls to the platform log and to nodes. */
package org.dogwoodwood.cli.http;
