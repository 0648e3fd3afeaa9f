package org.dogwoodwood.node.http;

import io.vertx.core.MultiMap;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.dogwoodwood.codec.wire.CallFrame;
import org.dogwoodwood.core.model.HeaderField;

/** The header fields that the system defines, and the rules for forwarding header fields. */
public final class Headers {

    /** The time until the answer is due, in milliseconds. */
    public static final String TIMEOUT_MS = "Dogwoodwood-Timeout-Ms";

    /** The class of the call. */
    public static final String CLASS = "Dogwoodwood-Class";

    /** The client account of the caller, set by the system on the request to the target. */
    public static final String ACCOUNT = "Dogwoodwood-Account";

    /** The number of services that the call has passed through. */
    public static final String DEPTH = "Dogwoodwood-Depth";

    /** The call id, for the logs of targets. */
    public static final String CALL_ID = "Dogwoodwood-Call-Id";

    /** What is known about the effect of a call, in an error answer of the node itself. */
    public static final String OUTCOME = "Dogwoodwood-Outcome";

    /** The caller's key, with which a call runs at most once. */
    public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    // RFC 9110, section 7.6.1, and the fields that describe the framing of one connection.
    private static final Set<String> HOP_BY_HOP =
            Set.of(
                    "connection",
                    "keep-alive",
                    "proxy-connection",
                    "proxy-authenticate",
                    "proxy-authorization",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade",
                    "http2-settings",
                    "expect");

    private static final String CONTENT_LENGTH = "content-length";

    private Headers() {}

    /**
     * Returns the end-to-end fields, which are forwarded on the next connection.
     *
     * @param headers the received fields, not null
     * @param keepLength whether to keep {@code Content-Length}, as for an answer to HEAD
     */
    public static List<HeaderField> endToEnd(MultiMap headers, boolean keepLength) {
        Set<String> named = namedByConnection(headers);
        List<HeaderField> result = new ArrayList<>();
        for (Map.Entry<String, String> header : headers) {
            String name = header.getKey().toLowerCase(Locale.ROOT);
            boolean dropped =
                    HOP_BY_HOP.contains(name)
                            || named.contains(name)
                            || name.startsWith(":")
                            || (name.equals(CONTENT_LENGTH) && !keepLength);
            if (!dropped) {
                result.add(HeaderField.of(header.getKey(), header.getValue()));
            }
        }
        return result;
    }

    /** Returns the fields that the guard sets on the request to its target. */
    public static List<HeaderField> forTarget(CallFrame frame, long remainingMillis) {
        List<HeaderField> headers = new ArrayList<>();
        headers.add(HeaderField.of(TIMEOUT_MS, Long.toString(remainingMillis)));
        headers.add(HeaderField.of(CALL_ID, frame.id().call().toString()));
        headers.add(HeaderField.of(DEPTH, Integer.toString(frame.depth() + 1)));
        headers.add(HeaderField.of(CLASS, frame.callClass()));
        frame.account().ifPresent(account -> headers.add(HeaderField.of(ACCOUNT, account)));
        return headers;
    }

    private static Set<String> namedByConnection(MultiMap headers) {
        Set<String> named = new HashSet<>();
        for (String value : headers.getAll("connection")) {
            for (String name : value.split(",", -1)) {
                named.add(name.trim().toLowerCase(Locale.ROOT));
            }
        }
        return named;
    }
}
