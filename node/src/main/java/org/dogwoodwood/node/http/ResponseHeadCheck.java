package org.dogwoodwood.node.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;

/** Finds faults in the heads of responses that the decoder accepts. */
final class ResponseHeadCheck {

    private static final int MIN_STATUS = 100;
    private static final int MAX_STATUS = 599;

    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [1-9][0-9]{2}( |$)");

    private ResponseHeadCheck() {}

    /** Returns why a response must not be used, or empty if its head is sound. */
    static Optional<InvalidResponseException> faultOf(HttpResponse response) {
        if (response.decoderResult().isFailure()) {
            // The client reports it.
            return Optional.empty();
        }
        int status = response.status().code();
        if (status < MIN_STATUS || status > MAX_STATUS) {
            return Optional.of(InvalidResponseException.status(status));
        }
        String coding = response.headers().get(HttpHeaderNames.TRANSFER_ENCODING);
        if (coding != null && !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(coding.trim())) {
            return Optional.of(InvalidResponseException.coding(coding));
        }
        return isJoined(response)
                ? Optional.of(InvalidResponseException.joinedHeads())
                : Optional.empty();
    }

    /** Returns whether a status line stands inside the head, after a part of another head. */
    private static boolean isJoined(HttpResponse response) {
        if (containsStatusLine(response.status().reasonPhrase())) {
            return true;
        }
        for (Map.Entry<String, String> header : response.headers()) {
            if (containsStatusLine(header.getValue())) {
                return true;
            }
        }
        return false;
    }

    private static boolean containsStatusLine(String text) {
        return text.contains("HTTP/1.") && STATUS_LINE.matcher(text).find();
    }
}
