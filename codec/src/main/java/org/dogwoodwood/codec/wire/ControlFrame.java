package org.dogwoodwood.codec.wire;

import static org.dogwoodwood.core.Preconditions.checkArgument;

import java.util.Objects;

/** A frame of type 8 to 17, whose payload is decoded only on the control thread. */
public final class ControlFrame implements Frame {

    static final int FIRST_TYPE = 8;
    static final int LAST_TYPE = 17;

    private final int type;
    private final long requestNumber;
    private final byte[] payload;

    private ControlFrame(int type, long requestNumber, byte[] payload) {
        checkArgument(
                type >= FIRST_TYPE && type <= LAST_TYPE,
                "A control frame must have a type from 8 to 17.");
        this.type = type;
        this.requestNumber = requestNumber;
        this.payload = Objects.requireNonNull(payload, "payload");
    }

    /**
     * Returns a control frame with request number 0; the transport assigns the number on sending.
     *
     * @param type the frame type, from 8 to 17
     * @param payload the MessagePack payload, not null; not copied
     */
    public static ControlFrame of(int type, byte[] payload) {
        return new ControlFrame(type, 0, payload);
    }

    /**
     * Returns a copy of this frame with the given request number.
     *
     * @param number correlates a reply with its request on one connection
     */
    public ControlFrame withRequestNumber(long number) {
        return new ControlFrame(type, number, payload);
    }

    @Override
    public int type() {
        return type;
    }

    /** Returns the number that correlates a reply with its request. */
    public long requestNumber() {
        return requestNumber;
    }

    /** Returns the MessagePack payload, which must not be modified. */
    public byte[] payload() {
        return payload;
    }

    /** Returns whether frames of this type are replies. */
    public boolean isReply() {
        return type % 2 == 1;
    }
}
