package org.dogwoodwood.faults.simulation;

import org.dogwoodwood.core.configuration.AcceptedConfiguration;
import org.dogwoodwood.core.configuration.ConfigurationLedger;
import org.dogwoodwood.core.model.NodeId;

/** Reads the configuration stream, fetches newer versions from peers, and renews the last one. */
final class SimulatedConfiguration {

    private static final long READ_INTERVAL_NANOS = 300 * EventLoop.MILLISECOND;
    private static final long RENEWAL_INTERVAL_NANOS =
            SimulatedCluster.RECORD_LIFETIME_MILLIS * EventLoop.MILLISECOND / 2;
    private static final long ASSUMPTION_DELAY_NANOS = 3 * EventLoop.SECOND;

    private final SimulatedNode node;
    private final SimulatedCluster cluster;
    private final EventLoop loop;
    private final SimulatedControl control;
    private final ConfigurationLedger ledger = ConfigurationLedger.create(document -> true);
    private AcceptedConfiguration applied = AcceptedConfiguration.none();
    private long lastRecordAtNanos;
    private boolean readToEnd;
    private boolean confirmedByReadyPeer;
    private long logStateUnknownSinceNanos = Long.MIN_VALUE;

    SimulatedConfiguration(SimulatedNode node, SimulatedCluster cluster, SimulatedControl control) {
        this.node = node;
        this.cluster = cluster;
        this.loop = cluster.loop();
        this.control = control;
    }

    void start() {
        read();
        renewIfDue();
    }

    boolean hasReadToEnd() {
        return readToEnd && ledger.isLogStateKnown();
    }

    boolean isConfirmedByReadyPeer() {
        return confirmedByReadyPeer;
    }

    AcceptedConfiguration configurationForPeers() {
        return ledger.confirmedState().orElse(ledger.inForce());
    }

    void onPeerVersion(NodeId peer, long version, boolean ready) {
        if (version > ledger.inForce().version() || !ledger.isLogStateKnown()) {
            node.call(
                    peer,
                    other -> other.control().configuration().configurationForPeers(),
                    peerConfiguration -> {
                        ledger.adopt(peerConfiguration);
                        applyNewest();
                    },
                    () -> {});
        } else if (ready) {
            confirmedByReadyPeer = true;
        }
    }

    private void read() {
        cluster.log()
                .read(
                        PlatformLog.Stream.CONFIGURATION,
                        ledger.nextOffset(),
                        page -> node.execute(() -> onPage(page)));
    }

    private void onPage(PlatformLog.Page page) {
        if (page != null && page.expired()) {
            ledger.onRecordsExpired(page.firstOffset());
            read();
            return;
        }
        if (page != null) {
            page.records().forEach(this::applyRecord);
            readToEnd = true;
        }
        assumeLogStateIfOverdue();
        applyNewest();
        node.schedule(READ_INTERVAL_NANOS, this::read);
    }

    private void applyRecord(PlatformLog.StoredRecord stored) {
        lastRecordAtNanos = loop.now();
        if (stored.entry() instanceof LogEntry.Publication publication) {
            ledger.onPublication(
                    stored.offset(),
                    publication.id(),
                    publication.baseVersion(),
                    publication.document());
        } else if (stored.entry() instanceof LogEntry.Renewal renewal) {
            ledger.onRenewal(stored.offset(), renewal.configuration());
        } else {
            ledger.onOtherRecord(stored.offset());
        }
    }

    private void assumeLogStateIfOverdue() {
        if (ledger.isLogStateKnown()) {
            logStateUnknownSinceNanos = Long.MIN_VALUE;
            return;
        }
        if (logStateUnknownSinceNanos == Long.MIN_VALUE) {
            logStateUnknownSinceNanos = loop.now();
        }
        if (loop.now() - logStateUnknownSinceNanos > ASSUMPTION_DELAY_NANOS) {
            ledger.assumeFromFirstRetained();
        }
    }

    private void applyNewest() {
        AcceptedConfiguration newest = ledger.inForce();
        if (newest.equals(applied)
                || !cluster.policies().appliesVersion(newest.version(), applied.version())) {
            return;
        }
        applied = newest;
        control.gossip().onConfiguration(newest.version(), newest.document().hashCode());
        cluster.journal()
                .add(
                        new Event.ConfigurationInForce(
                                loop.now(),
                                node.id(),
                                node.incarnation(),
                                newest.version(),
                                newest.publicationId()));
        cluster.reportStep(StepContext.ofNode(Step.APPLYING, node.id()));
    }

    private void renewIfDue() {
        boolean due =
                loop.now() - lastRecordAtNanos > RENEWAL_INTERVAL_NANOS
                        && ledger.inForce().version() > 0;
        if (due && ledger.confirmedState().isPresent() && control.isResponsibleFor("renewal")) {
            lastRecordAtNanos = loop.now();
            AcceptedConfiguration configuration = ledger.confirmedState().get();
            String id = "renewal/" + node.id() + "/" + node.incarnation() + "/" + loop.now();
            cluster.log()
                    .append(
                            PlatformLog.Stream.CONFIGURATION,
                            id,
                            new LogEntry.Renewal(configuration),
                            confirmed -> {});
        }
        node.schedule(READ_INTERVAL_NANOS, this::renewIfDue);
    }
}
