/** Frames that nodes exchange over TCP in MessagePack encoding. */
package org.dogwoodwood.codec.wire;
