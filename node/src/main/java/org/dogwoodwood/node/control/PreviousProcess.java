package org.dogwoodwood.node.control;

import java.util.Objects;
import org.dogwoodwood.codec.log.AnnouncementRecord;
import org.dogwoodwood.codec.log.ExpiryRecord;
import org.dogwoodwood.codec.log.LeaveRecord;
import org.dogwoodwood.node.logging.EventLog;
import org.dogwoodwood.node.logging.LogEvent;

/**
 * Logs how the previous process of this node ended, as far as the records of the stream {@code
 * membership} tell; used on the control thread.
 */
final class PreviousProcess {

    private final ControlSettings settings;
    private final EventLog events;
    private long incarnation = -1;
    private boolean left;
    private boolean isLogged;

    private PreviousProcess(ControlSettings settings, EventLog events) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.events = Objects.requireNonNull(events, "events");
    }

    /** Logs the end of the previous process once all records have been read for the first time. */
    static void logOnceRead(
            MembershipManager membership, ControlSettings settings, EventLog events) {
        PreviousProcess previous = new PreviousProcess(settings, events);
        membership.addEntryListener(previous::onEntry);
        membership.addEndListener(sentNanos -> previous.onEndReached());
    }

    private void onEntry(LogEntry entry) {
        if (isLogged) {
            return;
        }
        if (entry.content() instanceof AnnouncementRecord announcement) {
            onRecord(announcement.node(), announcement.incarnation(), false);
        } else if (entry.content() instanceof LeaveRecord leave) {
            onRecord(leave.node(), leave.incarnation(), true);
        } else if (entry.content() instanceof ExpiryRecord expiry) {
            onRecord(expiry.node(), expiry.incarnation(), false);
        }
    }

    private void onRecord(String node, long recorded, boolean isLeave) {
        boolean isPrevious =
                node.equals(settings.node().value()) && recorded != settings.incarnation();
        if (isPrevious && recorded >= incarnation) {
            incarnation = recorded;
            left = isLeave;
        }
    }

    private void onEndReached() {
        if (!isLogged && incarnation >= 0) {
            events.write(LogEvent.PREVIOUS_PROCESS, "incarnation", incarnation, "left", left);
        }
        isLogged = true;
    }
}
