package org.dogwoodwood.node.http;

import io.vertx.core.http.HttpClientRequest;
import java.util.function.Consumer;

/** Limits the interim answers (1xx) that may come before the answer to a request. */
public final class InterimAnswers {

    private static final int MAX_INTERIM_RESPONSES = 16;
    private static final int FIRST_FINAL_STATUS = 200;

    private final Consumer<Throwable> listener;
    private int count;

    private InterimAnswers(Consumer<Throwable> listener) {
        this.listener = listener;
    }

    /**
     * Counts the interim answers to a request.
     *
     * @param request the request, not null
     * @param listener is told when there are too many, not null
     */
    public static void limit(HttpClientRequest request, Consumer<Throwable> listener) {
        InterimAnswers interim = new InterimAnswers(listener);
        request.continueHandler(ignored -> interim.onInterim());
        request.earlyHintsHandler(ignored -> interim.onInterim());
    }

    /** Returns whether a status is interim, which the HTTP client tells only of some of them. */
    public static boolean isInterim(int status) {
        return status < FIRST_FINAL_STATUS;
    }

    private void onInterim() {
        count++;
        if (count > MAX_INTERIM_RESPONSES) {
            listener.accept(AnswerTooLargeException.tooManyInterimResponses(MAX_INTERIM_RESPONSES));
        }
    }
}
