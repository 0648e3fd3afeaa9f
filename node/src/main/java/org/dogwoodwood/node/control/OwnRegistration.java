package org.dogwoodwood.node.control;

import java.util.Optional;
import java.util.random.RandomGenerator;
import org.dogwoodwood.codec.log.AnnouncementRecord;
import org.dogwoodwood.codec.log.ExpiryRecord;
import org.dogwoodwood.codec.log.LeaveRecord;
import org.dogwoodwood.codec.log.LogStreams;
import org.dogwoodwood.core.membership.DataCentreOrders;
import org.dogwoodwood.core.membership.Member;
import org.dogwoodwood.core.membership.MembershipTable;
import org.dogwoodwood.core.membership.RegistrationList;
import org.dogwoodwood.core.model.TargetState;

/**
 * Keeps this node's registration on the stream {@code membership} consistent with its target; used
 * on the control thread.
 */
final class OwnRegistration {

    private static final String ANNOUNCEMENT_KEY = "announcement";
    private static final String LEAVE_KEY = "leave";
    private static final String WITHDRAWAL_KEY = "withdrawal";
    private static final double RENEWAL_JITTER = 0.1;

    private final ControlSettings settings;
    private final MembershipTable table;
    private final DataCentreOrders orders;
    private final RegistrationList registrations;
    private final LogAppender appender;
    private final boolean keyedCalls;
    private final double renewalJitter;
    private final boolean readerPauses;
    private AnnouncementRecord pendingAnnouncement;
    private Optional<AnnouncementRecord> appendedAnnouncement = Optional.empty();
    private long appendedOffset = -1;
    private long announcedAtMillis;
    private long sequence;

    OwnRegistration(
            ControlSettings settings,
            MembershipTable table,
            DataCentreOrders orders,
            RegistrationList registrations,
            LogAppender appender,
            RandomGenerator random,
            boolean keyedCalls) {
        this.settings = settings;
        this.table = table;
        this.orders = orders;
        this.registrations = registrations;
        this.appender = appender;
        this.keyedCalls = keyedCalls;
        this.readerPauses = settings.timings().readPauseMillis() > 0;
        this.renewalJitter = random.nextDouble() * RENEWAL_JITTER;
    }

    /**
     * Records that this node's announcement has been read from the log.
     *
     * @param timestampMillis when the log accepted it, in milliseconds of the log's clock
     */
    void onAnnouncementRead(long timestampMillis) {
        announcedAtMillis = timestampMillis;
        appender.cancel(ANNOUNCEMENT_KEY);
    }

    /**
     * Appends this node's announcement if the log does not hold it or it nears its expiry. With
     * keyed calls, withdraws the registration while this node is out of service.
     */
    void announceIfDue(long nowMillis) {
        Member self = table.self();
        boolean isAnnounceable =
                self.target().isPresent() && self.target().state() != TargetState.LEAVING;
        if (isAnnounceable && keyedCalls && isOutOfService(self)) {
            withdraw(self);
            return;
        }
        if (!isAnnounceable || isAnnounced(self, nowMillis)) {
            appender.cancel(ANNOUNCEMENT_KEY);
            return;
        }
        AnnouncementRecord announcement = announcementOf(self);
        if (!appender.isPending(ANNOUNCEMENT_KEY) || !announcement.equals(pendingAnnouncement)) {
            pendingAnnouncement = announcement;
            String id = publicationId("announcement");
            appender.append(
                    ANNOUNCEMENT_KEY,
                    LogStreams.MEMBERSHIP,
                    id,
                    announcement,
                    false,
                    offset -> onAppended(announcement, offset));
        }
    }

    /** Appends this node's announcement or leave again, since the log may have lost it. */
    void onLogRestored() {
        if (table.self().target().state() == TargetState.LEAVING) {
            appendLeave();
            return;
        }
        appendedAnnouncement = Optional.empty();
        announcedAtMillis = 0;
    }

    /** Appends the record that this node is leaving. */
    void appendLeave() {
        Member self = table.self();
        appender.cancel(ANNOUNCEMENT_KEY);
        if (self.target().isPresent()) {
            LeaveRecord leave = new LeaveRecord(self.node().value(), self.incarnation());
            appender.append(LEAVE_KEY, LogStreams.MEMBERSHIP, publicationId("leave"), leave, true);
        }
    }

    /** Returns whether the record that this node is leaving has not been appended yet. */
    boolean isLeavePending() {
        return appender.isPending(LEAVE_KEY);
    }

    private boolean isOutOfService(Member self) {
        return self.target().state() == TargetState.DRAINING
                || orders.isOut(self.address().dataCentre());
    }

    /** Removes this node's registration, so that its keys move to members that accept calls. */
    private void withdraw(Member self) {
        appender.cancel(ANNOUNCEMENT_KEY);
        boolean registered =
                registrations
                        .find(self.node())
                        .filter(known -> known.incarnation() == self.incarnation())
                        .isPresent();
        if (!registered) {
            appender.cancel(WITHDRAWAL_KEY);
        } else if (!appender.isPending(WITHDRAWAL_KEY)) {
            ExpiryRecord removal =
                    new ExpiryRecord(
                            self.node().value(), self.incarnation(), settings.node().value());
            appender.append(
                    WITHDRAWAL_KEY,
                    LogStreams.MEMBERSHIP,
                    publicationId("withdrawal"),
                    removal,
                    true);
        }
    }

    private void onAppended(AnnouncementRecord announcement, long offset) {
        appendedAnnouncement = Optional.of(announcement);
        appendedOffset = offset;
    }

    /** Returns whether the log holds this announcement after the last offset that was read. */
    private boolean isAppendedButUnread(Member self) {
        return readerPauses
                && appendedOffset > registrations.readThrough()
                && appendedAnnouncement.equals(Optional.of(announcementOf(self)));
    }

    private boolean isAnnounced(Member self, long nowMillis) {
        if (isAppendedButUnread(self)) {
            return true;
        }
        double renewAfter = settings.timings().retentionMillis() * (2 / 3.0 + renewalJitter);
        return nowMillis - announcedAtMillis <= renewAfter
                && registrations
                        .find(self.node())
                        .filter(known -> known.incarnation() == self.incarnation())
                        .filter(known -> known.service().equals(self.target().service()))
                        .isPresent();
    }

    private static AnnouncementRecord announcementOf(Member self) {
        return new AnnouncementRecord(
                self.node().value(),
                self.incarnation(),
                self.target().service(),
                self.address().dataCentre(),
                self.address().host(),
                self.address().peerPort(),
                self.address().httpPort(),
                self.target().slots(),
                self.target().connections());
    }

    private String publicationId(String kind) {
        sequence++;
        return kind + "-" + settings.node() + "-" + settings.incarnation() + "-" + sequence;
    }
}
