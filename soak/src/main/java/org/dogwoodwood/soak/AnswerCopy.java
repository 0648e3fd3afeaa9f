package org.dogwoodwood.soak;

/** When a target sends an answer for the second time. */
enum AnswerCopy {
    NEVER,
    /** Right after the answer. */
    AT_ONCE,
    /** After some time, on the same connection. */
    LATE,
    /** Right before the answer to the next request on the same connection. */
    BEFORE_NEXT_ANSWER,
    /** Only its beginning, right after the answer. */
    CUT_AT_ONCE,
    /** Only its beginning, right before the answer to the next request on the same connection. */
    CUT_BEFORE_NEXT_ANSWER,
    /** Right before the answer to the next request with the same id, on whatever connection. */
    BEFORE_NEXT_ATTEMPT
}
