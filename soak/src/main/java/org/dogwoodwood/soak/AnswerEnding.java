package org.dogwoodwood.soak;

/** How a target sends an answer. */
enum AnswerEnding {
    /** All of it. */
    WHOLE,
    /** Nothing: the connection is closed after the run. */
    LOST,
    /** A part of it; then the connection is closed. */
    CUT,
    /** A part of it, without a length; then the connection is reset. */
    RESET,
    /** Bytes that are no answer; then the connection is closed. */
    NO_ANSWER
}
