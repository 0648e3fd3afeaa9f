package org.dogwoodwood.node.http;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import org.dogwoodwood.core.DogwoodwoodException;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.core.model.HeaderField;
import org.dogwoodwood.core.model.TargetAnswer;

/** Writes the answers of targets, and error answers of the node itself, to callers. */
public final class AnswerWriter {

    private static final String RETRY_AFTER_SECONDS = "1";

    private AnswerWriter() {}

    /** Writes the complete answer of a target; has no effect if the caller has disconnected. */
    public static void writeAnswer(HttpServerRequest request, TargetAnswer answer) {
        HttpServerResponse response = request.response();
        if (response.ended() || response.closed()) {
            return;
        }
        response.setStatusCode(answer.status());
        for (HeaderField header : answer.headers()) {
            // The field would describe a call that the target made, not this one.
            if (!header.name().equalsIgnoreCase(Headers.OUTCOME)) {
                response.headers().add(header.name(), header.value());
            }
        }
        if (answer.body().length == 0) {
            response.end();
        } else {
            response.end(Buffer.buffer(answer.body()));
        }
    }

    /**
     * Writes an error answer of the node itself; has no effect if the caller has disconnected.
     *
     * @param detail what happened, without the remedy
     * @return a future that completes when the answer is written
     */
    public static Future<Void> writeError(
            HttpServerRequest request, ErrorCode code, String detail) {
        return writeError(request, code, detail, RETRY_AFTER_SECONDS);
    }

    /**
     * Writes an error answer of the node itself; has no effect if the caller has disconnected.
     *
     * @param detail what happened, without the remedy
     * @param retryAfterSeconds the time after which the caller may retry, in seconds; used only for
     *     errors that have a {@code Retry-After} field
     * @return a future that completes when the answer is written
     */
    public static Future<Void> writeError(
            HttpServerRequest request, ErrorCode code, String detail, String retryAfterSeconds) {
        HttpServerResponse response = request.response();
        if (response.ended() || response.closed()) {
            return Future.succeededFuture();
        }
        response.setStatusCode(code.httpStatus());
        response.putHeader("Content-Type", "application/json");
        response.putHeader(Headers.OUTCOME, code.outcome().headerValue());
        if (code == ErrorCode.UNKNOWN_ACCOUNT_KEY) {
            // RFC 9110, section 15.5.2, requires the field. A protocol with another scheme has set
            // it already.
            if (!response.headers().contains("WWW-Authenticate")) {
                response.putHeader("WWW-Authenticate", "Bearer");
            }
        }
        if (code.hasRetryAfter()) {
            response.putHeader("Retry-After", retryAfterSeconds);
        }
        return response.end(ErrorBody.of(code, detail).toJson());
    }

    /** Returns the message of an exception without its number and remedy. */
    public static String detailOf(DogwoodwoodException exception) {
        String message = exception.getMessage();
        String prefix = exception.code().number() + " ";
        String suffix = " " + exception.code().remedy();
        return message.substring(prefix.length(), message.length() - suffix.length());
    }
}
