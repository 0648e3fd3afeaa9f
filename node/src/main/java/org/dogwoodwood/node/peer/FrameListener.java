package org.dogwoodwood.node.peer;

import org.dogwoodwood.codec.wire.Frame;

/** Receives the events of one connection. */
interface FrameListener {

    /** Handles a received frame. */
    void onFrame(Frame frame);

    /** Handles the close of the connection; called once. */
    void onClosed();
}
