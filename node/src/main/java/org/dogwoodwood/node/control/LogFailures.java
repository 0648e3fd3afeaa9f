package org.dogwoodwood.node.control;

import io.vertx.core.json.DecodeException;
import org.dogwoodwood.core.DogwoodwoodException;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.node.http.AnswerTooLargeException;

/** Converts failures of requests to a log into {@link DogwoodwoodException}s. */
public final class LogFailures {

    private LogFailures() {}

    /**
     * Returns the typed failure of a request.
     *
     * @param log the name of the log, with which the message starts
     * @param failure the cause, not null
     * @return {@code failure} itself if it is typed; otherwise {@code LOG_PROTOCOL} if the answer
     *     cannot be decoded, and {@code LOG_UNAVAILABLE} if there is none
     */
    public static DogwoodwoodException of(String log, Throwable failure) {
        if (failure instanceof DogwoodwoodException typed) {
            return typed;
        }
        return new DogwoodwoodException(
                isUnreadable(failure) ? ErrorCode.LOG_PROTOCOL : ErrorCode.LOG_UNAVAILABLE,
                log + " cannot be used: " + failure.getMessage() + ".",
                failure);
    }

    /**
     * Returns whether a request got no answer. Its connection may have stopped responding without
     * being closed; a request on a new connection may then succeed.
     *
     * @param failure a failure that {@link #of} returned
     */
    public static boolean isUnanswered(Throwable failure) {
        return failure instanceof DogwoodwoodException typed
                && typed.code() == ErrorCode.LOG_UNAVAILABLE
                && typed.getCause() != null;
    }

    private static boolean isUnreadable(Throwable failure) {
        return failure instanceof DecodeException
                || failure instanceof AnswerTooLargeException
                || failure instanceof ClassCastException
                || failure instanceof NullPointerException
                || failure instanceof IndexOutOfBoundsException
                || failure instanceof IllegalArgumentException;
    }
}
