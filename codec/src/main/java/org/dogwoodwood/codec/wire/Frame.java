package org.dogwoodwood.codec.wire;

/** A message that one node sends to another. */
public sealed interface Frame
        permits HelloFrame,
                PingFrame,
                PongFrame,
                CallFrame,
                AnswerFrame,
                CancelFrame,
                ResumeFrame,
                TextsFrame,
                ControlFrame {

    /** Returns the type number, the first element of the encoded frame. */
    int type();
}
