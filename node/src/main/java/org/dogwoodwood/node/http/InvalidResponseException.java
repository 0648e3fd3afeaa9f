package org.dogwoodwood.node.http;

/** Thrown when a response is not valid HTTP; its connection is closed. */
public final class InvalidResponseException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private InvalidResponseException(String message) {
        super(message);
    }

    static InvalidResponseException status(int status) {
        return new InvalidResponseException("the status " + status + " is not defined by HTTP");
    }

    static InvalidResponseException statusLine() {
        return new InvalidResponseException("the status does not consist of three digits");
    }

    static InvalidResponseException coding(String coding) {
        return new InvalidResponseException("the transfer coding '" + coding + "' is unknown");
    }

    static InvalidResponseException joinedHeads() {
        return new InvalidResponseException("the head of the response consists of parts of two");
    }

    static InvalidResponseException beforeRequest() {
        return new InvalidResponseException(
                "the response was received before its request was sent");
    }
}
