package org.dogwoodwood.node.control;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.Optional;
import java.util.function.ToIntFunction;
import org.dogwoodwood.codec.configuration.ConfigurationJsonCodec;
import org.dogwoodwood.codec.gossip.ConfigurationFrames;
import org.dogwoodwood.codec.gossip.ControlFrameTypes;
import org.dogwoodwood.codec.log.ConfigurationRecord;
import org.dogwoodwood.codec.log.LogStreams;
import org.dogwoodwood.codec.log.RenewalRecord;
import org.dogwoodwood.codec.wire.ControlFrame;
import org.dogwoodwood.core.DogwoodwoodException;
import org.dogwoodwood.core.configuration.AcceptedConfiguration;
import org.dogwoodwood.core.configuration.Configuration;
import org.dogwoodwood.core.configuration.ConfigurationLedger;
import org.dogwoodwood.core.membership.GossipMessage;
import org.dogwoodwood.core.membership.Member;
import org.dogwoodwood.core.membership.NodeAddress;
import org.dogwoodwood.core.membership.StableHash;
import org.dogwoodwood.node.logging.EventLog;
import org.dogwoodwood.node.logging.LogEvent;
import org.dogwoodwood.node.peer.PeerTransport;

/** Maintains the configuration in force from the log and peers; used on the control thread. */
final class ConfigurationManager implements LogReader.EntryListener {

    private static final long FETCH_TIMEOUT_MILLIS = 2_000;
    private static final long LOG_HEAD_START_MILLIS = 200;
    private static final String RENEWAL_KEY = "configuration-renewal";

    private final Vertx vertx;
    private final PeerTransport transport;
    private final ControlSettings settings;
    private final LogAppender appender;
    private final ConfigurationLedger ledger =
            ConfigurationLedger.create(ConfigurationManager::isReadable);
    private final ToIntFunction<String> rankOf;
    private final Runnable changeListener;
    private final EventLog events;
    private Configuration configuration = Configuration.empty();
    private long hash;
    private long recordedAtMillis = Long.MAX_VALUE;
    private boolean fetching;
    private boolean confirmedByReadyPeer;

    /**
     * Creates a manager with an empty configuration.
     *
     * @param rankOf returns this node's rank among present nodes for a subject, from 0
     * @param changeListener runs when another version has come into force
     */
    ConfigurationManager(
            Vertx vertx,
            PeerTransport transport,
            ControlSettings settings,
            LogAppender appender,
            ToIntFunction<String> rankOf,
            Runnable changeListener,
            EventLog events) {
        this.vertx = vertx;
        this.transport = transport;
        this.settings = settings;
        this.appender = appender;
        this.rankOf = rankOf;
        this.changeListener = changeListener;
        this.events = events;
    }

    /** Returns the configuration in force. */
    Configuration configuration() {
        return configuration;
    }

    /** Returns the ledger of versions and publication outcomes. */
    ConfigurationLedger ledger() {
        return ledger;
    }

    /** Returns a hash of the document in force. */
    long hash() {
        return hash;
    }

    /** Returns whether a peer has reported a later version, which is being fetched. */
    boolean isFetching() {
        return fetching;
    }

    /** Returns whether a ready peer has reported no later version than this node's. */
    boolean isConfirmedByReadyPeer() {
        return confirmedByReadyPeer;
    }

    @Override
    public void onEntry(LogEntry entry) {
        if (entry.content() instanceof ConfigurationRecord publication) {
            ledger.onPublication(
                    entry.offset(),
                    publication.publicationId(),
                    publication.baseVersion(),
                    publication.document());
        } else if (entry.content() instanceof RenewalRecord renewal) {
            ledger.onRenewal(entry.offset(), renewal.toAcceptedConfiguration());
        } else {
            ledger.onOtherRecord(entry.offset());
        }
        updateRecordTime(entry);
        applyIfChanged();
    }

    @Override
    public void onIgnored(long offset) {
        ledger.onOtherRecord(offset);
    }

    @Override
    public void onExpired(long firstOffset) {
        ledger.onRecordsExpired(firstOffset);
    }

    /** Applies a configuration that operators published outside the configuration stream. */
    void onExternalPublication(long version, String document) {
        // Offset -2 precedes every record, so no reader takes this as the confirmed state of the
        // log.
        ledger.adopt(new AcceptedConfiguration(version, "", document, -2));
        applyIfChanged();
    }

    /** Compares the version that a peer reports with the one in force, and fetches a later one. */
    void onMessage(GossipMessage message, boolean logReachable) {
        long own = ledger.inForce().version();
        if (message.configurationVersion() > own || needsConfirmedState(message)) {
            fetchFrom(message, logReachable ? LOG_HEAD_START_MILLIS : 0);
            return;
        }
        if (message.configurationVersion() == own && message.configurationHash() != hash) {
            events.write(
                    LogEvent.CONFIGURATION_DIFFERS,
                    "version",
                    own,
                    "peer",
                    message.sender().node());
        }
        confirmedByReadyPeer |= message.sender().ready();
    }

    /**
     * Answers a CONFIGURATION_REQUEST frame with the configuration in force, or with none if it is
     * older than the requested version.
     */
    ControlFrame answer(ControlFrame request) {
        long wanted = ConfigurationFrames.decodeRequest(request.payload());
        AcceptedConfiguration reply = ledger.confirmedState().orElseGet(this::inForceUnconfirmed);
        if (reply.version() < wanted) {
            reply = AcceptedConfiguration.none();
        }
        return ControlFrame.of(
                ControlFrameTypes.CONFIGURATION_REPLY, ConfigurationFrames.encodeReply(reply));
    }

    /**
     * Appends a renewal once the record of the version in force exceeds half the retention time.
     */
    void renewIfDue(long nowMillis) {
        Optional<AcceptedConfiguration> confirmedState = ledger.confirmedState();
        if (confirmedState.isEmpty()
                || confirmedState.get().version() == 0
                || appender.isPending(RENEWAL_KEY)) {
            return;
        }
        long age = nowMillis - recordedAtMillis;
        long due = settings.timings().retentionMillis() / 2;
        if (age < due) {
            return;
        }
        long rankDelay =
                settings.timings().rankDelayMillis() * rankOf.applyAsInt(LogStreams.CONFIGURATION);
        if (age >= due + rankDelay) {
            RenewalRecord renewal = RenewalRecord.of(confirmedState.get());
            String id = "renewal-" + renewal.version() + "-" + settings.node() + "-" + nowMillis;
            appender.append(RENEWAL_KEY, LogStreams.CONFIGURATION, id, renewal, false);
        }
    }

    /**
     * Decides the records that were set aside, if no confirmed state is found within the timeout.
     */
    void assumeFromFirstRetained() {
        if (ledger.assumeFromFirstRetained()) {
            events.write(LogEvent.LOG_STATE_ASSUMED, "version", ledger.inForce().version());
            applyIfChanged();
        }
    }

    private void updateRecordTime(LogEntry entry) {
        boolean carriesVersionInForce =
                (entry.content() instanceof RenewalRecord renewal
                                && renewal.version() == ledger.inForce().version())
                        || (entry.content() instanceof ConfigurationRecord publication
                                && publication
                                        .publicationId()
                                        .equals(ledger.inForce().publicationId()));
        if (carriesVersionInForce) {
            recordedAtMillis = entry.timestampMillis();
            appender.cancel(RENEWAL_KEY);
        }
    }

    private boolean needsConfirmedState(GossipMessage message) {
        return !ledger.isLogStateKnown()
                && message.sender().ready()
                && message.configurationVersion() == ledger.inForce().version();
    }

    private void fetchFrom(GossipMessage message, long headStartMillis) {
        if (fetching) {
            return;
        }
        fetching = true;
        vertx.setTimer(
                Math.max(1, headStartMillis),
                id ->
                        fetch(message.sender(), message.configurationVersion())
                                .onComplete(done -> fetching = false));
    }

    private Future<Void> fetch(Member peer, long wantedVersion) {
        boolean isUpToDate =
                ledger.isLogStateKnown() && ledger.inForce().version() >= wantedVersion;
        if (isUpToDate) {
            return Future.succeededFuture();
        }
        NodeAddress address = peer.address();
        ControlFrame request =
                ControlFrame.of(
                        ControlFrameTypes.CONFIGURATION_REQUEST,
                        ConfigurationFrames.encodeRequest(wantedVersion));
        return transport
                .exchange(address.host(), address.peerPort(), request, FETCH_TIMEOUT_MILLIS)
                .map(
                        reply -> {
                            ledger.adopt(ConfigurationFrames.decodeReply(reply.payload()));
                            applyIfChanged();
                            return null;
                        });
    }

    private AcceptedConfiguration inForceUnconfirmed() {
        AcceptedConfiguration inForce = ledger.inForce();
        // Offset -2 precedes every record, so the receiver does not take this as a confirmed state.
        return new AcceptedConfiguration(
                inForce.version(), inForce.publicationId(), inForce.document(), -2);
    }

    private void applyIfChanged() {
        AcceptedConfiguration inForce = ledger.inForce();
        if (inForce.version() == configuration.version()) {
            return;
        }
        configuration = ConfigurationJsonCodec.decode(inForce.document(), inForce.version());
        hash = StableHash.of(inForce.document());
        events.write(
                LogEvent.CONFIGURATION_IN_FORCE,
                "version",
                inForce.version(),
                "publication",
                inForce.publicationId());
        changeListener.run();
    }

    private static boolean isReadable(String document) {
        try {
            ConfigurationJsonCodec.decode(document);
            return true;
        } catch (DogwoodwoodException e) {
            return false;
        }
    }
}
