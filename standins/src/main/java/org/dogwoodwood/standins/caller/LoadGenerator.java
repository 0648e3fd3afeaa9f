package org.dogwoodwood.standins.caller;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.nio.file.Files;
import java.util.Random;
import java.util.UUID;

/**
 * Generates an open-loop load: sends calls at a fixed rate, whether or not earlier ones have
 * completed.
 */
public final class LoadGenerator {

    private static final long TICK_MILLIS = 2;
    private static final long NANOS_PER_SECOND = 1_000_000_000;

    private final Vertx vertx;
    private final LoadOptions options;
    private final LoadResult result = new LoadResult();
    private final Promise<LoadResult> done = Promise.promise();
    private final String runId = UUID.randomUUID().toString().substring(0, 8);
    private final Random random;
    private CallSender sender;
    private long startNanos;
    private int plannedCalls;
    private int startedCalls;
    private int completedCalls;

    private LoadGenerator(Vertx vertx, LoadOptions options) {
        this.vertx = vertx;
        this.options = options;
        this.random = new Random(options.seed());
    }

    /**
     * Generates a load.
     *
     * @param vertx the Vert.x instance, not null
     * @param options what to send, not null
     * @return the result, once every call has completed
     */
    public static Future<LoadResult> run(Vertx vertx, LoadOptions options) {
        LoadGenerator generator = new LoadGenerator(vertx, options);
        Context context = vertx.getOrCreateContext();
        context.runOnContext(ignored -> generator.start());
        return generator.done.future();
    }

    private void start() {
        sender = new CallSender(vertx, options, result);
        plannedCalls = options.callsPerSecond() * options.seconds();
        startNanos = System.nanoTime();
        vertx.setPeriodic(TICK_MILLIS, this::startDueCalls);
    }

    private void startDueCalls(long timer) {
        long now = System.nanoTime();
        while (startedCalls < plannedCalls && dueNanos(startedCalls) <= now) {
            PlannedCall call = plan(startedCalls);
            startedCalls++;
            sender.send(call, outcome -> onCompleted());
        }
        if (startedCalls == plannedCalls || isStopped()) {
            plannedCalls = startedCalls;
            vertx.cancelTimer(timer);
            completeIfDone();
        }
    }

    private boolean isStopped() {
        return options.stopFile().isPresent() && Files.exists(options.stopFile().get());
    }

    private PlannedCall plan(int number) {
        String service = options.services().get(number % options.services().size());
        boolean idempotent = random.nextDouble() >= options.nonIdempotentShare();
        return new PlannedCall(number, runId + "-" + number, service, idempotent, dueNanos(number));
    }

    private long dueNanos(int number) {
        return startNanos + number * NANOS_PER_SECOND / options.callsPerSecond();
    }

    private void onCompleted() {
        completedCalls++;
        completeIfDone();
    }

    private void completeIfDone() {
        if (completedCalls == plannedCalls && !done.future().isComplete()) {
            sender.close();
            done.complete(result);
        }
    }
}
