package org.dogwoodwood.node.guard;

import io.vertx.core.MultiMap;
import java.util.List;
import java.util.Optional;
import org.dogwoodwood.codec.wire.CallFrame;
import org.dogwoodwood.core.model.HeaderField;
import org.dogwoodwood.node.guard.PollResult.Kind;
import org.dogwoodwood.node.http.Headers;

/** Default {@link TargetProtocol}, described in {@code docs/interfaces.md}. */
public final class DefaultTargetProtocol implements TargetProtocol {

    private static final String LOAD_PATH = "/load";
    private static final int STATUS_OK = 200;
    private static final int STATUS_NOT_FOUND = 404;

    private DefaultTargetProtocol() {}

    /** Returns the protocol. */
    public static DefaultTargetProtocol create() {
        return new DefaultTargetProtocol();
    }

    @Override
    public List<HeaderField> headersFor(
            CallFrame frame, TargetAnnouncement target, long remainingMillis) {
        return Headers.forTarget(frame, remainingMillis);
    }

    @Override
    public Optional<String> requestIdOf(CallFrame frame) {
        return Optional.empty();
    }

    @Override
    public Optional<String> requestIdHeader() {
        return Optional.empty();
    }

    @Override
    public ResponseType classify(CallFrame frame, int status, MultiMap headers) {
        return ResponseType.ANSWER;
    }

    @Override
    public Optional<ReportedLoad> loadOf(MultiMap headers) {
        return Optional.empty();
    }

    @Override
    public List<String> pollPaths(String healthPath) {
        return List.of(LOAD_PATH, healthPath);
    }

    @Override
    public PollResult readPoll(String path, PollAnswer answer) {
        boolean isLoad = path.equals(LOAD_PATH);
        if (isLoad && answer.status() == STATUS_NOT_FOUND) {
            return PollResult.of(Kind.UNKNOWN_PATH);
        }
        if (answer.status() != STATUS_OK) {
            return PollResult.of(Kind.FAILING);
        }
        if (!isLoad) {
            return PollResult.of(Kind.HEALTHY);
        }
        return TargetLoadDocument.parse(answer.body())
                .map(DefaultTargetProtocol::toPollResult)
                .orElseGet(() -> PollResult.of(Kind.MALFORMED));
    }

    @Override
    public boolean announcementProvesLiveness() {
        return false;
    }

    private static PollResult toPollResult(TargetLoadDocument load) {
        return new PollResult(
                Kind.HEALTHY,
                Optional.ofNullable(load.slots()),
                Optional.ofNullable(load.cold()),
                Optional.ofNullable(load.draining()),
                Optional.ofNullable(load.incarnation()).map(String::valueOf));
    }
}
