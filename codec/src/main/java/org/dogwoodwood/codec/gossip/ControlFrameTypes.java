package org.dogwoodwood.codec.gossip;

/** Type numbers of the control frames. */
public final class ControlFrameTypes {

    public static final int GOSSIP = 8;
    public static final int GOSSIP_REPLY = 9;
    public static final int CONFIGURATION_REQUEST = 10;
    public static final int CONFIGURATION_REPLY = 11;
    public static final int KEY_HANDOVER = 12;
    public static final int KEY_HANDOVER_REPLY = 13;
    public static final int INDIRECT_PING = 14;
    public static final int INDIRECT_PONG = 15;
    public static final int QUOTA_REQUEST = 16;
    public static final int QUOTA_REPLY = 17;

    private ControlFrameTypes() {}
}
