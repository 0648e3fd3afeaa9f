package org.dogwoodwood.node.http;

import io.vertx.core.http.HttpClientRequest;
import java.util.function.Consumer;

/** Limits the number of interim responses (1xx) that may precede the answer to a request. */
public final class InterimResponses {

    private static final int MAX_INTERIM_RESPONSES = 16;
    private static final int FIRST_FINAL_STATUS = 200;

    private final Consumer<Throwable> listener;
    private int count;

    private InterimResponses(Consumer<Throwable> listener) {
        this.listener = listener;
    }

    /**
     * Counts the interim responses to a request and reports each one above the limit.
     *
     * @param request the request, not null
     * @param listener called with an {@link AnswerTooLargeException} for each interim response
     *     above the limit, not null
     */
    public static void limit(HttpClientRequest request, Consumer<Throwable> listener) {
        InterimResponses interim = new InterimResponses(listener);
        request.continueHandler(ignored -> interim.onInterim());
        request.earlyHintsHandler(ignored -> interim.onInterim());
    }

    /**
     * Returns whether a status is interim. The HTTP client has handlers only for some interim
     * statuses and delivers the others as a response.
     */
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
