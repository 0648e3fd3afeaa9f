package org.dogwoodwood.cli.log;

import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.dogwoodwood.codec.configuration.ConfigurationJsonCodec;
import org.dogwoodwood.codec.log.ConfigurationRecord;
import org.dogwoodwood.codec.log.RenewalRecord;
import org.dogwoodwood.core.DogwoodwoodException;
import org.dogwoodwood.core.configuration.AcceptedConfiguration;
import org.dogwoodwood.core.configuration.Configuration;
import org.dogwoodwood.core.configuration.ConfigurationLedger;
import org.dogwoodwood.core.configuration.PublicationOutcome;

/** The versions of the configuration that result from the records of the platform log. */
public final class ConfigurationHistory {

    private final PlatformLogReader reader;
    private final ConfigurationLedger ledger =
            ConfigurationLedger.create(ConfigurationHistory::isReadable);
    private final Map<String, Publication> publications = new LinkedHashMap<>();
    private final Map<Long, Configuration> versions = new LinkedHashMap<>();

    private ConfigurationHistory(PlatformLogReader reader) {
        this.reader = reader;
    }

    static ConfigurationHistory create(PlatformLogReader reader) {
        return new ConfigurationHistory(reader);
    }

    /** Reads the records appended since the last call. */
    void refresh() {
        PlatformLogReader.Batch batch = reader.readFrom(ledger.nextOffset());
        batch.expiredBefore().ifPresent(ledger::onRecordsExpired);
        batch.entries().forEach(this::apply);
        recordInForce();
    }

    /**
     * Returns whether the version in force can be derived from the log. It cannot if records have
     * expired and the log holds no renewal yet.
     */
    public boolean isInForceVersionKnown() {
        return ledger.isLogStateKnown();
    }

    /** Adopts the configuration that a node reports as in force. */
    void adopt(AcceptedConfiguration accepted) {
        ledger.adopt(accepted);
        recordInForce();
    }

    private void apply(PlatformLogReader.Entry entry) {
        Object content = entry.content().orElse(null);
        if (content instanceof ConfigurationRecord publication) {
            publications.putIfAbsent(
                    publication.publicationId(), new Publication(entry.time(), publication));
            ledger.onPublication(
                    entry.offset(),
                    publication.publicationId(),
                    publication.baseVersion(),
                    publication.document());
        } else if (content instanceof RenewalRecord renewal) {
            ledger.onRenewal(entry.offset(), renewal.toAcceptedConfiguration());
        } else {
            ledger.onOtherRecord(entry.offset());
        }
        recordInForce();
    }

    /**
     * Assumes that the first retained publication was accepted. This suffices to show the
     * configuration, but not to publish.
     */
    void assumeFirstRetained() {
        ledger.assumeFromFirstRetained();
        recordInForce();
    }

    private void recordInForce() {
        AcceptedConfiguration inForce = ledger.inForce();
        versions.computeIfAbsent(inForce.version(), version -> decode(inForce));
    }

    /** Returns the configuration in force; version 0 and empty before the first publication. */
    public Configuration inForce() {
        return versions.get(ledger.inForce().version());
    }

    /** Returns the publication id of the version in force, empty for version 0. */
    public String inForcePublicationId() {
        return ledger.inForce().publicationId();
    }

    /** Returns an earlier version, or empty if the log no longer retains it. */
    public Optional<Configuration> version(long version) {
        return Optional.ofNullable(versions.get(version));
    }

    /** Returns the outcome of a publication, or empty if the log does not retain it. */
    public Optional<PublicationOutcome> outcome(String publicationId) {
        return ledger.outcome(publicationId);
    }

    /** Returns the retained publications in order. */
    public List<HistoryEntry> entries() {
        List<HistoryEntry> entries = new ArrayList<>();
        publications.forEach(
                (id, publication) ->
                        entries.add(
                                new HistoryEntry(
                                        publication.time(),
                                        id,
                                        publication.content().baseVersion(),
                                        ledger.outcome(id))));
        return entries;
    }

    private static Configuration decode(AcceptedConfiguration accepted) {
        return accepted.version() == 0
                ? Configuration.empty()
                : ConfigurationJsonCodec.decode(accepted.document(), accepted.version());
    }

    private static boolean isReadable(String document) {
        try {
            ConfigurationJsonCodec.decode(document);
            return true;
        } catch (DogwoodwoodException e) {
            return false;
        }
    }

    private record Publication(Instant time, ConfigurationRecord content) {}
}
