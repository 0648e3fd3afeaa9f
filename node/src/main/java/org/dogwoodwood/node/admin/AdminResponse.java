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
public record AdminResponse(int status, String contentType, String body) {

    private static final String JSON = "application/json";

    /** Checks that the references are present. */
    public AdminResponse {
        Objects.requireNonNull(contentType, "contentType");
        Objects.requireNonNull(body, "body");
    }

    /** Returns a response with a JSON body. */
    public static AdminResponse json(int status, String body) {
        return new AdminResponse(status, JSON, body);
    }

    /** Returns a response with a plain text body in UTF-8. */
    public static AdminResponse text(int status, String body) {
        return new AdminResponse(status, "text/plain; charset=utf-8", body);
    }

    /** Returns the response for an error, with the HTTP status of its code and a JSON body. */
    public static AdminResponse error(ErrorCode code, String message) {
        return json(code.httpStatus(), ErrorBody.of(code, message).toJson());
    }
}
