package org.dogwoodwood.node.http;

import io.netty.buffer.ByteBuf;

/**
 * Checks that the status in the first line of a response consists of three digits. The decoder
 * reads it as a number, so that it takes {@code 0200} and {@code +200} for 200.
 */
final class StatusLineCheck {

    private static final int STATUS_START = "HTTP/1.1 ".length();
    private static final int STATUS_END = STATUS_START + 3;

    private int position;

    /** Starts with the first line of another response. */
    void reset() {
        position = 0;
    }

    /** Returns whether the status has been read to its end. */
    boolean isComplete() {
        return position > STATUS_END;
    }

    /** Reads the next bytes, which stay in the buffer; returns false if the status is invalid. */
    boolean accept(ByteBuf bytes) {
        int index = bytes.readerIndex();
        while (index < bytes.writerIndex() && !isComplete()) {
            byte next = bytes.getByte(index);
            index++;
            boolean emptyLine = position == 0 && next <= ' ';
            if (!emptyLine) {
                if (!isAllowed(next)) {
                    return false;
                }
                position++;
            }
        }
        return true;
    }

    private boolean isAllowed(byte next) {
        if (position < STATUS_START) {
            // The decoder checks the version.
            return true;
        }
        return position < STATUS_END ? next >= '0' && next <= '9' : next <= ' ';
    }
}
