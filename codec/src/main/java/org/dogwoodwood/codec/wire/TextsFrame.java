package org.dogwoodwood.codec.wire;

import java.util.List;

/**
 * Tells the receiver texts that later frames of the same direction of the connection name by
 * number.
 *
 * @param texts the texts, numbered in order from the number of texts told before
 */
public record TextsFrame(List<String> texts) implements Frame {

    public static final int TYPE = 64;

    /** Copies the texts. */
    public TextsFrame {
        texts = List.copyOf(texts);
    }

    @Override
    public int type() {
        return TYPE;
    }
}
