package org.dogwoodwood.node.guard;

import io.vertx.core.MultiMap;
import java.util.List;
import java.util.Optional;
import org.dogwoodwood.codec.wire.CallFrame;
import org.dogwoodwood.core.model.HeaderField;

/** A protocol of targets whose announcements show that they run, and that may tell their speed. */
final class SelfAnnouncingProtocol implements TargetProtocol {

    static final String SLOWDOWN = "Slowdown";
    static final String READING = "Reading";

    private final DefaultTargetProtocol usual = DefaultTargetProtocol.create();

    @Override
    public List<HeaderField> headersFor(
            CallFrame frame, TargetAnnouncement target, long remainingMillis) {
        return usual.headersFor(frame, target, remainingMillis);
    }

    @Override
    public Optional<String> requestIdOf(CallFrame frame) {
        return usual.requestIdOf(frame);
    }

    @Override
    public Reading read(CallFrame frame, int status, MultiMap headers) {
        String told = headers.get(READING);
        return told == null ? usual.read(frame, status, headers) : Reading.valueOf(told);
    }

    @Override
    public Optional<TargetCondition> conditionOf(MultiMap headers) {
        String slowdown = headers.get(SLOWDOWN);
        return slowdown == null
                ? usual.conditionOf(headers)
                : Optional.of(new TargetCondition(0, 0, 4, Double.parseDouble(slowdown)));
    }

    @Override
    public List<String> pollPaths(String healthPath) {
        return List.of(healthPath);
    }

    @Override
    public PollReading readPoll(String path, PollAnswer answer) {
        return usual.readPoll(path, answer);
    }

    @Override
    public boolean announcementShowsLife() {
        return true;
    }
}
