package org.dogwoodwood.standins.target;

import java.nio.charset.StandardCharsets;

/**
 * Builds the response bodies of a stand-in target. Callers build the same body to check that an
 * answer belongs to their request and is complete.
 */
public final class TargetAnswers {

    private static final String END_MARKER = "\nend";

    private TargetAnswers() {}

    /**
     * Returns the response body for a request.
     *
     * @param requestId the last segment of the request's path
     * @param bytes the minimum size of the body in bytes
     */
    public static byte[] bodyOf(String requestId, int bytes) {
        StringBuilder body = new StringBuilder(requestId);
        while (body.length() + END_MARKER.length() < bytes) {
            body.append('\n').append(requestId);
        }
        return body.append(END_MARKER).toString().getBytes(StandardCharsets.UTF_8);
    }
}
