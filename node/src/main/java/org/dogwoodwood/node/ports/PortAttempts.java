package org.dogwoodwood.node.ports;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.dogwoodwood.core.DogwoodwoodException;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.node.control.Backoff;
import org.dogwoodwood.node.logging.EventLog;
import org.dogwoodwood.node.logging.LogEvent;
import org.dogwoodwood.node.settings.Endpoint;

/** The attempts to open one port, on one context. */
final class PortAttempts {

    private static final long FIRST_PAUSE_MILLIS = 20;
    private static final long MAX_PAUSE_MILLIS = 500;
    private static final long LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final Context context;
    private final String name;
    private final Endpoint address;
    private final Supplier<Future<Integer>> listen;
    private final Predicate<Throwable> retryable;
    private final PortWait wait;
    private final EventLog log;
    private final Promise<Integer> result = Promise.promise();
    private final Backoff backoff =
            Backoff.create(FIRST_PAUSE_MILLIS, new SplittableRandom(System.nanoTime()));
    private final long startNanos = System.nanoTime();
    private long loggedNanos;
    private volatile Throwable lastFailure;
    private boolean pausing;

    PortAttempts(
            Context context,
            String name,
            Endpoint address,
            Supplier<Future<Integer>> listen,
            Predicate<Throwable> retryable,
            PortWait wait,
            EventLog log) {
        this.context = context;
        this.name = name;
        this.address = address;
        this.listen = listen;
        this.retryable = retryable;
        this.wait = wait;
        this.log = log;
    }

    Future<Integer> start() {
        context.runOnContext(ignored -> attempt());
        return result.future();
    }

    Future<Integer> result() {
        return result.future();
    }

    boolean isWaiting() {
        return lastFailure != null && !result.future().isComplete();
    }

    /** Fails if the port is in use; an attempt that is under way is completed first. */
    void stopWaiting() {
        if (result.future().isComplete()) {
            return;
        }
        context.runOnContext(
                ignored -> {
                    if (pausing) {
                        fail(lastFailure);
                    }
                });
    }

    private void attempt() {
        pausing = false;
        if (result.future().isComplete()) {
            return;
        }
        Future<Integer> port;
        try {
            port = listen.get();
        } catch (RuntimeException e) {
            port = Future.failedFuture(e);
        }
        port.onComplete(
                opened -> context.runOnContext(ignored -> onOpened(opened)),
                failure -> context.runOnContext(ignored -> onFailure(failure)));
    }

    private void onOpened(int port) {
        if (lastFailure != null) {
            log.write(
                    LogEvent.PORT_OPENED,
                    "port",
                    name,
                    "address",
                    address,
                    "attempts",
                    backoff.failures() + 1,
                    "waited_ms",
                    TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos));
        }
        result.complete(port);
    }

    private void onFailure(Throwable failure) {
        boolean first = lastFailure == null;
        lastFailure = failure;
        long pauseMillis = backoff.nextDelayMillis(MAX_PAUSE_MILLIS);
        long nowNanos = System.nanoTime();
        if (first || nowNanos - loggedNanos >= LOG_INTERVAL_NANOS) {
            loggedNanos = nowNanos;
            logUnavailable(failure);
        }
        if (!retryable.test(failure) || wait.isOver(nowNanos - startNanos)) {
            fail(failure);
            return;
        }
        pausing = true;
        context.owner().setTimer(pauseMillis, ignored -> attempt());
    }

    private void logUnavailable(Throwable failure) {
        log.write(
                LogEvent.PORT_UNAVAILABLE,
                "port",
                name,
                "address",
                address,
                "reason",
                failure,
                "attempts",
                backoff.failures());
    }

    private void fail(Throwable cause) {
        result.tryFail(
                new DogwoodwoodException(
                        ErrorCode.ADDRESS_IN_USE,
                        "Cannot listen on " + name + "_address " + address + ".",
                        cause));
    }
}
