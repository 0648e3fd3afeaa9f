package org.dogwoodwood.node;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.VerticleBase;
import io.vertx.core.Vertx;
import java.util.function.Supplier;

/** The event loop to which the ingress and the guard are confined. */
final class TrafficLoop extends VerticleBase {

    private TrafficLoop() {}

    static Future<TrafficLoop> deploy(Vertx vertx) {
        TrafficLoop loop = new TrafficLoop();
        return vertx.deployVerticle(loop).map(loop);
    }

    Context context() {
        return context;
    }

    /**
     * Runs an action on the loop; may be called on any thread.
     *
     * @return completes with the result of the action; fails if the action throws
     */
    <T> Future<T> run(Supplier<Future<T>> action) {
        Promise<T> promise = Promise.promise();
        context.runOnContext(
                ignored -> {
                    try {
                        action.get().onComplete(promise);
                    } catch (RuntimeException e) {
                        promise.fail(e);
                    }
                });
        return promise.future();
    }
}
