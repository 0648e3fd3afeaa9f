package org.dogwoodwood.node.guard;

import io.vertx.core.MultiMap;
import java.util.List;
import java.util.Optional;
import org.dogwoodwood.codec.wire.CallFrame;
import org.dogwoodwood.core.model.HeaderField;

/** A protocol in which announcements prove liveness and answers may report a slowdown. */
class SelfAnnouncingProtocol implements TargetProtocol {

    static final String SLOWDOWN = "Slowdown";
    static final String RESPONSE_TYPE = "Reading";
    static final String INSTANCE = "Instance";

    private final DefaultTargetProtocol defaultProtocol = DefaultTargetProtocol.create();

    @Override
    public List<HeaderField> headersFor(
            CallFrame frame, TargetAnnouncement target, long remainingMillis) {
        return defaultProtocol.headersFor(frame, target, remainingMillis);
    }

    @Override
    public Optional<String> requestIdOf(CallFrame frame) {
        return defaultProtocol.requestIdOf(frame);
    }

    @Override
    public Optional<String> requestIdHeader() {
        return Optional.empty();
    }

    @Override
    public ResponseType classify(CallFrame frame, int status, MultiMap headers) {
        String responseType = headers.get(RESPONSE_TYPE);
        return responseType == null
                ? defaultProtocol.classify(frame, status, headers)
                : ResponseType.valueOf(responseType);
    }

    @Override
    public Optional<ReportedLoad> loadOf(MultiMap headers) {
        String slowdown = headers.get(SLOWDOWN);
        return slowdown == null
                ? defaultProtocol.loadOf(headers)
                : Optional.of(new ReportedLoad(0, 0, 4, Double.parseDouble(slowdown)));
    }

    @Override
    public List<String> pollPaths(String healthPath) {
        return List.of(healthPath);
    }

    @Override
    public PollResult readPoll(String path, PollAnswer answer) {
        PollResult result = defaultProtocol.readPoll(path, answer);
        String instance = answer.headers().get(INSTANCE);
        return new PollResult(
                result.kind(),
                result.slots(),
                result.cold(),
                result.draining(),
                Optional.ofNullable(instance));
    }

    @Override
    public boolean announcementProvesLiveness() {
        return true;
    }
}
