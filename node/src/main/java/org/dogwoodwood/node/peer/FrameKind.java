package org.dogwoodwood.node.peer;

import java.util.Locale;
import org.dogwoodwood.codec.gossip.ControlFrameTypes;
import org.dogwoodwood.codec.wire.AnswerFrame;
import org.dogwoodwood.codec.wire.CallFrame;
import org.dogwoodwood.codec.wire.CancelFrame;
import org.dogwoodwood.codec.wire.Frame;
import org.dogwoodwood.codec.wire.HelloFrame;
import org.dogwoodwood.codec.wire.PingFrame;
import org.dogwoodwood.codec.wire.PongFrame;
import org.dogwoodwood.codec.wire.ResumeFrame;

/** The kinds of frames that the metrics distinguish. */
public enum FrameKind {
    HELLO,
    PING,
    /** The answer to a ping, with a load report. */
    PONG,
    /** A load report that answers no ping. */
    LOAD_REPORT,
    CALL,
    ANSWER,
    CANCEL,
    RESUME,
    GOSSIP,
    GOSSIP_REPLY,
    CONFIGURATION,
    KEY_HANDOVER,
    INDIRECT_PING,
    /** Frames of a later type. */
    OTHER;

    /** Returns the kind of a frame. */
    public static FrameKind of(Frame frame) {
        if (frame instanceof PongFrame pong) {
            return pong.sequence() == PongFrame.UNSOLICITED ? LOAD_REPORT : PONG;
        }
        return switch (frame.type()) {
            case HelloFrame.TYPE -> HELLO;
            case PingFrame.TYPE -> PING;
            case CallFrame.TYPE -> CALL;
            case AnswerFrame.TYPE -> ANSWER;
            case CancelFrame.TYPE -> CANCEL;
            case ResumeFrame.TYPE -> RESUME;
            case ControlFrameTypes.GOSSIP -> GOSSIP;
            case ControlFrameTypes.GOSSIP_REPLY -> GOSSIP_REPLY;
            case ControlFrameTypes.CONFIGURATION_REQUEST, ControlFrameTypes.CONFIGURATION_REPLY ->
                    CONFIGURATION;
            case ControlFrameTypes.KEY_HANDOVER, ControlFrameTypes.KEY_HANDOVER_REPLY ->
                    KEY_HANDOVER;
            case ControlFrameTypes.INDIRECT_PING, ControlFrameTypes.INDIRECT_PONG -> INDIRECT_PING;
            default -> OTHER;
        };
    }

    /** Returns the value of the label {@code kind} in metrics. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
