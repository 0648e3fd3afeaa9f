package org.dogwoodwood.soak;

import java.util.SplittableRandom;

/**
 * What a target does with its next request.
 *
 * @param runMillis how long the request runs
 * @param status the status of the answer, if the request is run in time
 * @param rejected whether the request is refused without running it
 * @param framing how the answer tells where its body ends
 * @param ending how the answer is sent
 * @param copy when it is sent for the second time
 * @param copyMillis after how long a late copy is sent
 * @param cutCopyBytes after how many bytes a cut copy ends
 */
record AnswerPlan(
        int runMillis,
        int status,
        boolean rejected,
        BodyFraming framing,
        AnswerEnding ending,
        AnswerCopy copy,
        int copyMillis,
        int cutCopyBytes) {

    private static final int PERCENT = 100;

    private static final int MIN_RUN_MILLIS = 5;
    private static final int MAX_RUN_MILLIS = 60;
    private static final int LONG_RUN_MILLIS = 400;
    private static final int LONG_RUN_PERCENT = 3;

    private static final int OK = 200;
    private static final int ERROR = 500;
    private static final int TIMEOUT = 504;
    private static final int ERROR_PERCENT = 15;
    private static final int TIMEOUT_PERCENT = 5;

    private static final int LOST_PERCENT = 4;
    private static final int CUT_PERCENT = 3;
    private static final int RESET_PERCENT = 2;
    private static final int NO_ANSWER_PERCENT = 1;

    private static final int COPY_PERCENT = 10;
    private static final int MAX_COPY_MILLIS = 200;
    private static final int CUT_COPY_PERCENT = 3;

    // The status line and a part of the first field.
    private static final int MAX_CUT_COPY_BYTES = 40;

    private static final int CHUNKED_PERCENT = 20;
    private static final int UNTIL_CLOSE_PERCENT = 5;

    /** Draws a plan. */
    static AnswerPlan draw(SplittableRandom random, SoakOptions options) {
        int runMillis =
                random.nextInt(PERCENT) < LONG_RUN_PERCENT
                        ? LONG_RUN_MILLIS
                        : random.nextInt(MIN_RUN_MILLIS, MAX_RUN_MILLIS + 1);
        boolean rejected = random.nextInt(PERCENT) < options.rejectedPercent();
        AnswerEnding ending = drawEnding(random);
        BodyFraming framing = drawFraming(random, ending);
        // A copy behind a body that ends with the connection would be a part of that body.
        AnswerCopy copy =
                framing == BodyFraming.UNTIL_CLOSE
                        ? AnswerCopy.NEVER
                        : drawCopy(random, options.copiesForNextAttempt());
        return new AnswerPlan(
                runMillis,
                drawStatus(random),
                rejected,
                framing,
                ending,
                copy,
                random.nextInt(MAX_COPY_MILLIS + 1),
                random.nextInt(MAX_CUT_COPY_BYTES) + 1);
    }

    private static int drawStatus(SplittableRandom random) {
        int die = random.nextInt(PERCENT);
        if (die < ERROR_PERCENT) {
            return ERROR;
        }
        return die < ERROR_PERCENT + TIMEOUT_PERCENT ? TIMEOUT : OK;
    }

    private static AnswerEnding drawEnding(SplittableRandom random) {
        int die = random.nextInt(PERCENT) - LOST_PERCENT;
        if (die < 0) {
            return AnswerEnding.LOST;
        }
        die -= CUT_PERCENT;
        if (die < 0) {
            return AnswerEnding.CUT;
        }
        die -= RESET_PERCENT;
        if (die < 0) {
            return AnswerEnding.RESET;
        }
        return die < NO_ANSWER_PERCENT ? AnswerEnding.NO_ANSWER : AnswerEnding.WHOLE;
    }

    private static BodyFraming drawFraming(SplittableRandom random, AnswerEnding ending) {
        int die = random.nextInt(PERCENT);
        if (ending == AnswerEnding.RESET) {
            return BodyFraming.UNTIL_CLOSE;
        }
        if (die < CHUNKED_PERCENT) {
            return BodyFraming.CHUNKED;
        }
        boolean untilClose =
                ending == AnswerEnding.WHOLE && die < CHUNKED_PERCENT + UNTIL_CLOSE_PERCENT;
        return untilClose ? BodyFraming.UNTIL_CLOSE : BodyFraming.LENGTH;
    }

    private static AnswerCopy drawCopy(SplittableRandom random, boolean forNextAttempt) {
        int die = random.nextInt(PERCENT);
        if (die >= PERCENT - CUT_COPY_PERCENT) {
            return AnswerCopy.CUT_AT_ONCE;
        }
        if (die >= PERCENT - 2 * CUT_COPY_PERCENT) {
            return AnswerCopy.CUT_BEFORE_NEXT_ANSWER;
        }
        return switch (die / COPY_PERCENT) {
            case 0 -> AnswerCopy.AT_ONCE;
            case 1 -> AnswerCopy.LATE;
            case 2 -> AnswerCopy.BEFORE_NEXT_ANSWER;
            case 3, 4 -> forNextAttempt ? AnswerCopy.BEFORE_NEXT_ATTEMPT : AnswerCopy.NEVER;
            default -> AnswerCopy.NEVER;
        };
    }
}
