package org.dogwoodwood.node.quota;

import io.vertx.core.Context;
import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.dogwoodwood.codec.gossip.ControlFrameTypes;
import org.dogwoodwood.codec.gossip.QuotaFrames;
import org.dogwoodwood.codec.wire.ControlFrame;
import org.dogwoodwood.core.quota.QuotaGrant;
import org.dogwoodwood.core.routing.RouteTarget;
import org.dogwoodwood.node.metrics.NodeMetrics;
import org.dogwoodwood.node.peer.PeerTransport;

/**
 * Sends asks and loan requests in one frame per peer and turn of the traffic loop; used on this
 * loop only.
 */
final class QuotaBatches {

    private static final long LOAN_TIMEOUT_MILLIS = 60;

    // An ask may have to wait for two loans that time out.
    private static final long ASK_TIMEOUT_MILLIS = 200;

    private final Context loop;
    private final PeerTransport transport;
    private final NodeMetrics metrics;
    private Map<Destination, List<Pending>> batches = new LinkedHashMap<>();

    QuotaBatches(Context loop, PeerTransport transport, NodeMetrics metrics) {
        this.loop = loop;
        this.transport = transport;
        this.metrics = metrics;
    }

    /** Adds a request; the listener receives empty if the peer doesn't answer in time. */
    void add(
            RouteTarget peer,
            boolean loan,
            QuotaFrames.Entry entry,
            Consumer<Optional<QuotaGrant>> listener) {
        if (batches.isEmpty()) {
            loop.runOnContext(ignored -> sendAll());
        }
        batches.computeIfAbsent(
                        new Destination(peer.peerHost(), peer.peerPort(), loan),
                        ignored -> new ArrayList<>())
                .add(new Pending(entry, listener));
    }

    private void sendAll() {
        Map<Destination, List<Pending>> ready = batches;
        batches = new LinkedHashMap<>();
        ready.forEach(this::send);
    }

    private void send(Destination destination, List<Pending> batch) {
        QuotaFrames.Request request =
                new QuotaFrames.Request(
                        destination.loan(), batch.stream().map(Pending::entry).toList());
        ControlFrame frame =
                ControlFrame.of(
                        ControlFrameTypes.QUOTA_REQUEST, QuotaFrames.encodeRequest(request));
        long timeoutMillis = destination.loan() ? LOAN_TIMEOUT_MILLIS : ASK_TIMEOUT_MILLIS;
        metrics.onQuotaMessage(destination.loan());
        transport
                .exchange(destination.host(), destination.port(), frame, timeoutMillis)
                .map(reply -> QuotaFrames.decodeReply(reply.payload()))
                .recover(failure -> Future.succeededFuture(List.of()))
                .onSuccess(grants -> deliver(batch, grants));
    }

    private static void deliver(List<Pending> batch, List<QuotaGrant> grants) {
        for (int i = 0; i < batch.size(); i++) {
            Optional<QuotaGrant> grant =
                    i < grants.size() ? Optional.of(grants.get(i)) : Optional.empty();
            batch.get(i).listener().accept(grant);
        }
    }

    private record Destination(String host, int port, boolean loan) {}

    private record Pending(QuotaFrames.Entry entry, Consumer<Optional<QuotaGrant>> listener) {}
}
