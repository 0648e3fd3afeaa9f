package org.dogwoodwood.node.peer;

import org.dogwoodwood.codec.wire.Frame;
import org.dogwoodwood.core.calls.AttemptId;

/** Receives the events of one connection. */
interface FrameListener {

    /** Handles a received frame. */
    void onFrame(Frame frame);

    /** Handles a call or answer that was skipped because there is no memory for its body. */
    void onSkipped(AttemptId id);

    /** Handles the close of the connection; called once. */
    void onClosed();
}
