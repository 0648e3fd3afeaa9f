package org.dogwoodwood.node.guard;

import java.util.Objects;
import org.dogwoodwood.node.logging.EventLog;
import org.dogwoodwood.node.logging.LogEvent;

/** Logs what a guard learns of the state of its target. */
final class TargetStateLog {

    private final EventLog log;

    TargetStateLog(EventLog log) {
        this.log = Objects.requireNonNull(log, "log");
    }

    void onAnnounced(TargetAnnouncement target) {
        log.write(
                LogEvent.TARGET_ANNOUNCED,
                "service",
                target.service(),
                "address",
                target.address(),
                "slots",
                target.slots(),
                "cold",
                target.cold(),
                "draining",
                target.draining());
    }

    /**
     * Logs that another process answers at the address of the target.
     *
     * @param found the instance that answers, not null
     */
    void onReplaced(TargetAnnouncement target, String found) {
        log.write(
                LogEvent.TARGET_REPLACED,
                "address",
                target.address(),
                "instance",
                target.instance().orElse(""),
                "found",
                found);
    }

    void onUp(TargetAnnouncement target, long incarnation) {
        log.write(LogEvent.TARGET_UP, "address", target.address(), "incarnation", incarnation);
    }

    /**
     * Logs that the target does not answer.
     *
     * @param reason what has failed, in one word
     */
    void onDown(TargetAnnouncement target, String reason) {
        log.write(LogEvent.TARGET_DOWN, "address", target.address(), "reason", reason);
    }

    /** Logs an event that has no other field than the address of the target. */
    void write(LogEvent event, TargetAnnouncement target) {
        log.write(event, "address", target.address());
    }
}
