package org.dogwoodwood.node.http;

/** Thrown when an answer exceeds the limits of its receiver; its connection has been closed. */
public final class AnswerTooLargeException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private AnswerTooLargeException(String message) {
        super(message);
    }

    static AnswerTooLargeException bodyAbove(int maxBytes) {
        return new AnswerTooLargeException(
                "the body of the answer has more than " + maxBytes + " bytes");
    }

    static AnswerTooLargeException tooManyInterimResponses(int maxCount) {
        return new AnswerTooLargeException(
                "more than " + maxCount + " interim responses preceded the answer");
    }
}
