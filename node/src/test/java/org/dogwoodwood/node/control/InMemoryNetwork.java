package org.dogwoodwood.node.control;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiPredicate;
import java.util.function.Function;
import org.dogwoodwood.codec.wire.ControlFrame;
import org.dogwoodwood.node.peer.PeerTransport;

/** In-memory peer transports whose exchanges can be blocked, duplicated or lost. */
final class InMemoryNetwork {

    private final Vertx vertx;
    private final Map<Integer, Function<ControlFrame, Future<ControlFrame>>> handlers =
            new ConcurrentHashMap<>();
    private final AtomicInteger exchanges = new AtomicInteger();
    volatile BiPredicate<Integer, Integer> blocked = (from, to) -> false;
    volatile int loseEveryNth;
    volatile boolean duplicate;

    InMemoryNetwork(Vertx vertx) {
        this.vertx = vertx;
    }

    PeerTransport transport(int ownPort) {
        return new PeerTransport() {
            @Override
            public Future<ControlFrame> exchange(
                    String host, int port, ControlFrame request, long timeoutMillis) {
                return send(ownPort, port, request, timeoutMillis);
            }

            @Override
            public void setControlHandler(Function<ControlFrame, Future<ControlFrame>> handler) {
                handlers.put(ownPort, handler);
            }
        };
    }

    void disconnect(int port) {
        handlers.remove(port);
    }

    private Future<ControlFrame> send(int from, int to, ControlFrame request, long timeoutMillis) {
        Context caller = vertx.getOrCreateContext();
        Promise<ControlFrame> reply = Promise.promise();
        Function<ControlFrame, Future<ControlFrame>> handler = handlers.get(to);
        int exchange = exchanges.incrementAndGet();
        boolean lostRequest = loseEveryNth > 0 && exchange % loseEveryNth == 0;
        boolean lostReply = loseEveryNth > 0 && exchange % loseEveryNth == 1;
        if (handler != null && !blocked.test(from, to) && !lostRequest) {
            if (duplicate) {
                Future<ControlFrame> unused = handler.apply(request);
            }
            handler.apply(request)
                    .onSuccess(
                            received -> {
                                if (!blocked.test(to, from) && !lostReply) {
                                    caller.runOnContext(done -> reply.tryComplete(received));
                                }
                            });
        }
        vertx.setTimer(
                timeoutMillis, id -> caller.runOnContext(late -> reply.tryFail("timed out")));
        return reply.future();
    }
}
