package org.dogwoodwood.node.support;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;

/** Waits for futures and conditions, with a timeout. */
public final class Waiting {

    private static final long LIMIT_MILLIS = 10_000;

    private Waiting() {}

    /** Returns the result of a future; fails after the timeout or if the future fails. */
    public static <T> T get(Future<T> future) {
        try {
            return future.toCompletionStage()
                    .toCompletableFuture()
                    .get(LIMIT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException | ExecutionException | TimeoutException e) {
            throw new AssertionError(e);
        }
    }

    /**
     * Waits until a condition holds; fails after the timeout.
     *
     * @param description describes the condition in the failure message
     */
    public static void until(String description, BooleanSupplier condition) {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LIMIT_MILLIS);
        while (!condition.getAsBoolean() && System.nanoTime() - deadlineNanos < 0) {
            sleep(5);
        }
        assertThat(condition.getAsBoolean()).as(description).isTrue();
    }

    public static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }
}
