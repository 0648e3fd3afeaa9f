package org.dogwoodwood.node.admin;

import java.util.Objects;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.node.http.ErrorBody;

/**
 * A response of the admin port.
 *
 * @param status the HTTP status
 * @param contentType the media type of the body
 * @param body the body
 */
public record AdminAnswer(int status, String contentType, String body) {

    private static final String JSON = "application/json";

    /** Checks that the references are present. */
    public AdminAnswer {
        Objects.requireNonNull(contentType, "contentType");
        Objects.requireNonNull(body, "body");
    }

    /** Returns a response with a JSON body. */
    public static AdminAnswer json(int status, String body) {
        return new AdminAnswer(status, JSON, body);
    }

    /** Returns a response with a plain text body in UTF-8. */
    public static AdminAnswer text(int status, String body) {
        return new AdminAnswer(status, "text/plain; charset=utf-8", body);
    }

    /** Returns the response for an error, with the HTTP status of its code and a JSON body. */
    public static AdminAnswer error(ErrorCode code, String message) {
        return json(code.httpStatus(), ErrorBody.of(code, message).toJson());
    }
}
