package org.dogwoodwood.codec.wire;

/** Size limits of every frame. */
public final class WireLimits {

    /** The maximum size of an encoded frame without its length prefix, in bytes (6 MiB). */
    public static final int MAX_FRAME_BYTES = 6 << 20;

    /** The maximum size of a body, which leaves 1 MiB of a frame for the rest, in bytes. */
    public static final int MAX_BODY_BYTES = MAX_FRAME_BYTES - (1 << 20);

    /** The size of the length prefix, in bytes. */
    public static final int PREFIX_BYTES = 4;

    /** The maximum length of a string, such as a path or a header value, in bytes of UTF-8. */
    public static final int MAX_TEXT_BYTES = 64 << 10;

    /**
     * The maximum number of header fields of a request or an answer. A head of 32 KiB, the most
     * that a caller may send, has fewer, since a field takes at least three bytes.
     */
    public static final int MAX_HEADERS = 11_000;

    private WireLimits() {}
}
