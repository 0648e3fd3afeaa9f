package org.dogwoodwood.node.guard;

import io.vertx.core.MultiMap;
import java.util.List;
import java.util.Optional;
import org.dogwoodwood.codec.wire.CallFrame;
import org.dogwoodwood.core.model.HeaderField;

/** How a guard speaks to its target over HTTP; used on the traffic loop. */
public interface TargetProtocol {

    /** What the head of a response tells of the call that it answers. */
    enum Reading {
        /** The response is the target's answer to the call. */
        ANSWER,
        /** The target did not run the call and will not. */
        NOT_RUN,
        /** The response belongs to another call or is no answer of the target. */
        FOREIGN
    }

    /**
     * Returns the header fields that the guard sets on the request to its target.
     *
     * @param frame the call, not null
     * @param target what the target last announced, not null
     * @param remainingMillis the time until the answer is due, in milliseconds
     */
    List<HeaderField> headersFor(CallFrame frame, TargetAnnouncement target, long remainingMillis);

    /** Returns the caller's own id of a call, or empty if it gave none. */
    Optional<String> requestIdOf(CallFrame frame);

    /**
     * Reads the head of a response.
     *
     * @param frame the call that was sent, not null
     * @param status the HTTP status
     * @param headers the header fields, not null
     */
    Reading read(CallFrame frame, int status, MultiMap headers);

    /** Returns the load that the head of a response tells, or empty if it tells none. */
    Optional<TargetCondition> conditionOf(MultiMap headers);

    /**
     * Returns the paths of polls; the next one is used when the target does not have the one before
     * it.
     *
     * @param healthPath the path at which targets of the service tell their health, not null
     */
    List<String> pollPaths(String healthPath);

    /**
     * Reads the answer to a poll.
     *
     * @param path the path of the poll, not null
     * @param answer the answer, not null
     */
    PollReading readPoll(String path, PollAnswer answer);

    /**
     * Returns whether an announcement shows that the target runs, so that it may be given work
     * without a poll.
     */
    boolean announcementShowsLife();
}
