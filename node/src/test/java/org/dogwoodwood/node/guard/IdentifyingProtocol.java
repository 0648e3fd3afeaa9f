package org.dogwoodwood.node.guard;

import io.vertx.core.MultiMap;
import java.util.Optional;
import org.dogwoodwood.codec.wire.CallFrame;
import org.dogwoodwood.core.model.HeaderField;

/** A protocol whose answers carry the id of their request. */
final class IdentifyingProtocol extends SelfAnnouncingProtocol {

    static final String REQUEST_ID = "Request-Id";
    static final String REJECTED = "Rejected";

    @Override
    public Optional<String> requestIdHeader() {
        return Optional.of(REQUEST_ID);
    }

    @Override
    public Optional<String> requestIdOf(CallFrame frame) {
        return frame.request().headers().stream()
                .filter(header -> header.name().equals(REQUEST_ID))
                .map(HeaderField::value)
                .findFirst();
    }

    @Override
    public ResponseType classify(CallFrame frame, int status, MultiMap headers) {
        if (!requestIdOf(frame).equals(Optional.ofNullable(headers.get(REQUEST_ID)))) {
            return ResponseType.FOREIGN;
        }
        return headers.contains(REJECTED) ? ResponseType.NOT_RUN : ResponseType.ANSWER;
    }
}
