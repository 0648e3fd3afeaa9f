package org.dogwoodwood.node.control;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.function.Supplier;
import org.dogwoodwood.codec.log.LogStreams;
import org.dogwoodwood.codec.log.TargetLeavesRecord;
import org.dogwoodwood.core.DogwoodwoodException;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.core.membership.MembershipTable;
import org.dogwoodwood.core.membership.TargetLeave;
import org.dogwoodwood.core.membership.TargetLeaves;

/**
 * Records the leaves of this node's targets on the log and with peers, and learns those that
 * earlier processes of this node recorded; used on the control thread.
 */
final class TargetLeaveRecorder {

    private static final String APPEND_KEY = "target-leaves";

    // A target waits a second for its acknowledgement. The log outlives the loss of all processes,
    // and peers can be asked while the log is away, so both are waited for before one suffices.
    private static final int BOTH_MILLIS = 400;
    private static final int RECORD_TIMEOUT_MILLIS = 800;

    // After a start: how long peers are waited for once the log is read, and the log once a peer
    // has answered; and how long both are waited for.
    private static final long ONE_SOURCE_NANOS = 1_500_000_000L;
    private static final long NO_SOURCE_NANOS = 3_000_000_000L;

    private final Vertx vertx;
    private final ControlSettings settings;
    private final MembershipTable table;
    private final TargetLeaves leaves;
    private final LogAppender appender;
    private final Supplier<Future<Void>> askPeers;
    private final ControlLeaveMemory memory;
    private final long startedNanos = System.nanoTime();
    // Those that this process recorded or has passed on to the memory.
    private final Set<TargetLeave> handled = new HashSet<>();
    private final List<Promise<Void>> waitingForLog = new ArrayList<>();
    private boolean peerHeard;
    private long sequence;

    /**
     * Creates a recorder.
     *
     * @param leaves the leaves that gossip spreads, not null
     * @param askPeers exchanges gossip with some peers; completes when one has replied
     * @param memory what the node's other parts see of the leaves, not null
     */
    TargetLeaveRecorder(
            Vertx vertx,
            ControlSettings settings,
            MembershipTable table,
            TargetLeaves leaves,
            LogAppender appender,
            Supplier<Future<Void>> askPeers,
            ControlLeaveMemory memory) {
        this.vertx = Objects.requireNonNull(vertx, "vertx");
        this.settings = Objects.requireNonNull(settings, "settings");
        this.table = Objects.requireNonNull(table, "table");
        this.leaves = Objects.requireNonNull(leaves, "leaves");
        this.appender = Objects.requireNonNull(appender, "appender");
        this.askPeers = Objects.requireNonNull(askPeers, "askPeers");
        this.memory = Objects.requireNonNull(memory, "memory");
    }

    /**
     * Records a leave.
     *
     * @return completes when the log and a peer have it, or one of them if the other is away
     */
    Future<Void> record(TargetLeave leave) {
        handled.add(leave);
        leaves.add(leave, System.nanoTime());
        Future<Void> onLog = append();
        Future<Void> onPeer = table.hasPeers() ? askPeers.get() : onLog;
        Promise<Void> recorded = Promise.promise();
        Future.all(onLog, onPeer).onSuccess(both -> recorded.tryComplete());
        vertx.setTimer(
                BOTH_MILLIS,
                id -> Future.any(onLog, onPeer).onSuccess(one -> recorded.tryComplete()));
        vertx.setTimer(RECORD_TIMEOUT_MILLIS, id -> recorded.tryFail(notRecorded()));
        return recorded.future();
    }

    /** Appends the leaves of this node's targets again, since the log may have lost them. */
    void onLogRestored() {
        if (!leaves.of(settings.node()).isEmpty()) {
            append();
        }
    }

    /** Handles the leaves of a node's targets that were read from the log. */
    void onRecord(TargetLeavesRecord read) {
        if (read.node().equals(settings.node().value())) {
            read.toLeaves().forEach(leave -> leaves.add(leave, System.nanoTime()));
            passOn();
        }
    }

    /** Handles a message from a peer, after its leaves have been added. */
    void onPeerMessage() {
        peerHeard = true;
        passOn();
    }

    /** Ends the wait for earlier leaves once the sources have answered or time has passed. */
    void checkKnown(boolean logRead, long nowNanos) {
        long waitedNanos = nowNanos - startedNanos;
        boolean both = logRead && (peerHeard || !table.hasPeers());
        boolean one = (logRead || peerHeard) && waitedNanos >= ONE_SOURCE_NANOS;
        if (both || one) {
            memory.onAsked(true);
        } else if (waitedNanos >= NO_SOURCE_NANOS) {
            memory.onAsked(false);
        }
    }

    private Future<Void> append() {
        Promise<Void> appended = Promise.promise();
        waitingForLog.add(appended);
        List<Promise<Void>> covered = List.copyOf(waitingForLog);
        sequence++;
        appender.append(
                APPEND_KEY,
                LogStreams.MEMBERSHIP,
                APPEND_KEY + "-" + settings.node() + "-" + settings.incarnation() + "-" + sequence,
                TargetLeavesRecord.of(settings.node(), leaves.of(settings.node())),
                true,
                offset -> onAppended(covered));
        return appended.future();
    }

    private void onAppended(List<Promise<Void>> covered) {
        waitingForLog.removeAll(covered);
        covered.forEach(Promise::tryComplete);
    }

    private void passOn() {
        for (TargetLeave leave : leaves.of(settings.node())) {
            if (handled.add(leave)) {
                memory.onLeave(leave);
            }
        }
    }

    private static DogwoodwoodException notRecorded() {
        return new DogwoodwoodException(
                ErrorCode.LOG_UNAVAILABLE,
                "Neither the platform log nor a peer has recorded that the target leaves.");
    }
}
