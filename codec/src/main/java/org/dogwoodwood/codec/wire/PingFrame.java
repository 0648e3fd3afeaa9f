package org.dogwoodwood.codec.wire;

/**
 * Checks whether the peer is alive; it answers with a {@link PongFrame}.
 *
 * @param sequence increases with each ping on a connection
 */
public record PingFrame(long sequence) implements Frame {

    public static final int TYPE = 2;

    /** Returns a ping with the given sequence number. */
    public static PingFrame of(long sequence) {
        return new PingFrame(sequence);
    }

    @Override
    public int type() {
        return TYPE;
    }
}
