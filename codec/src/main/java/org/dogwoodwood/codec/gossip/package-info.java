/** MessagePack payloads of control frames: gossip, configuration, key handover, indirect pings. */
package org.dogwoodwood.codec.gossip;
