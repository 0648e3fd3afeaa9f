package org.dogwoodwood.node.guard;

import io.vertx.core.MultiMap;
import java.util.List;
import java.util.Optional;
import org.dogwoodwood.codec.wire.CallFrame;
import org.dogwoodwood.core.model.HeaderField;

/** The HTTP protocol between a guard and its target; used on the traffic loop. */
public interface TargetProtocol {

    /** The type of a response, as derived from its head. */
    enum ResponseType {
        /** The response is the target's answer to the call. */
        ANSWER,
        /** The target did not run the call and will not. */
        NOT_RUN,
        /** Another process than the announced one answered; it did not run the call. */
        MISDIRECTED,
        /** The response belongs to another call or does not come from the target. */
        FOREIGN
    }

    /**
     * Returns the header fields that the guard sets on the request to its target.
     *
     * @param frame the call, not null
     * @param target the last announcement of the target, not null
     * @param remainingMillis the time until the answer is due, in milliseconds
     */
    List<HeaderField> headersFor(CallFrame frame, TargetAnnouncement target, long remainingMillis);

    /** Returns the request id that the caller assigned, or empty if it assigned none. */
    Optional<String> requestIdOf(CallFrame frame);

    /**
     * Returns the name of the header field with the id of a request, which targets repeat in their
     * answers, or empty if they do not.
     */
    Optional<String> requestIdHeader();

    /**
     * Classifies a response by its head.
     *
     * @param frame the call that was sent, not null
     * @param status the HTTP status
     * @param headers the header fields, not null
     */
    ResponseType classify(CallFrame frame, int status, MultiMap headers);

    /** Returns the load that the head of a response reports, or empty if it reports none. */
    Optional<ReportedLoad> loadOf(MultiMap headers);

    /**
     * Returns the paths of polls in order of preference; the next one is used if the target does
     * not have the previous one.
     *
     * @param healthPath the health path of the service's targets, not null
     */
    List<String> pollPaths(String healthPath);

    /**
     * Interprets the answer to a poll.
     *
     * @param path the path of the poll, not null
     * @param answer the answer, not null
     */
    PollResult readPoll(String path, PollAnswer answer);

    /**
     * Returns whether an announcement proves that the target is alive, so that it may receive work
     * before a poll has succeeded.
     */
    boolean announcementProvesLiveness();
}
