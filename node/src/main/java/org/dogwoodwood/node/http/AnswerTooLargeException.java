package org.dogwoodwood.node.http;

/** The body of an answer is larger than the reader accepts; its connection has been closed. */
public final class AnswerTooLargeException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    AnswerTooLargeException(int maxBytes) {
        super("the body of the answer has more than " + maxBytes + " bytes");
    }
}
