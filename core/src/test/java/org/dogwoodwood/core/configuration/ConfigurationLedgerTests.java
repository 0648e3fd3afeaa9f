package org.dogwoodwood.core.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class ConfigurationLedgerTests {

    private final ConfigurationLedger ledger = newLedger();

    /** Guards against two concurrent publications that both come into force. */
    @Test
    void firstOfConcurrentPublicationsIsAccepted() {
        ledger.onPublication(0, "p1", 0, "one");
        ledger.onPublication(1, "p2", 0, "two");
        assertThat(ledger.inForce().document()).isEqualTo("one");
        assertThat(ledger.outcome("p1").orElseThrow().accepted()).isTrue();
        assertThat(ledger.outcome("p2").orElseThrow().accepted()).isFalse();
        assertThat(ledger.outcome("p2").orElseThrow().version()).isEqualTo(1);
    }

    /** Guards against a repeated append that comes into force twice or changes its outcome. */
    @Test
    void repeatedPublicationHasNoEffect() {
        ledger.onPublication(0, "p1", 0, "one");
        ledger.onPublication(1, "p2", 1, "two");
        ledger.onPublication(2, "p1", 2, "one");
        assertThat(ledger.inForce().version()).isEqualTo(2);
        assertThat(ledger.outcome("p1").orElseThrow().version()).isEqualTo(1);
    }

    /** Guards against a document that nodes cannot read coming into force. */
    @Test
    void unreadableDocumentIsRejected() {
        ledger.onPublication(0, "p1", 0, "bad");
        assertThat(ledger.inForce().version()).isZero();
        assertThat(ledger.outcome("p1").orElseThrow().accepted()).isFalse();
    }

    /** Guards against a reader that reverts to an older version during replay of the log. */
    @Test
    void versionFromPeerStaysInForceDuringReplay() {
        assertThat(ledger.adopt(new AcceptedConfiguration(2, "p2", "two", 1))).isTrue();
        ledger.onPublication(0, "p1", 0, "one");
        assertThat(ledger.inForce().version()).isEqualTo(2);
        ledger.onPublication(1, "p2", 1, "two");
        ledger.onPublication(2, "p3", 2, "three");
        assertThat(ledger.inForce().document()).isEqualTo("three");
    }

    /** Guards against a reader that accepts a rejected publication after records have expired. */
    @Test
    void publicationsAfterExpiryAreDeferredUntilRenewal() {
        ledger.onRecordsExpired(5);
        ledger.onPublication(5, "loser", 7, "loser");
        assertThat(ledger.inForce().version()).isZero();
        ledger.onPublication(6, "p9", 8, "nine");
        ledger.onRenewal(7, new AcceptedConfiguration(8, "winner", "eight", 5));
        assertThat(ledger.inForce().version()).isEqualTo(9);
        assertThat(ledger.inForce().document()).isEqualTo("nine");
    }

    /** Guards against expired records without a renewal blocking publications indefinitely. */
    @Test
    void firstRetainedPublicationIsAssumedAccepted() {
        ledger.onRecordsExpired(5);
        ledger.onPublication(5, "p8", 7, "eight");
        assertThat(ledger.assumeFromFirstRetained()).isTrue();
        assertThat(ledger.inForce().version()).isEqualTo(8);
    }

    /** Guards against readers of the same log that disagree, whatever offset they started at. */
    @Test
    void readersAgreeFromAnyStart() {
        Random random = new Random(7);
        for (int trial = 0; trial < 200; trial++) {
            ConfigurationLedger full = newLedger();
            List<AcceptedConfiguration> published = new ArrayList<>();
            List<ConfigurationLedger> readers = List.of(newLedger(), newLedger(), newLedger());
            int[] starts = {random.nextInt(10), random.nextInt(20), random.nextInt(30)};
            for (int offset = 0; offset < 60; offset++) {
                appendRandom(full, readers, starts, offset, published, random);
            }
            AcceptedConfiguration last = full.confirmedState().orElseThrow();
            full.onRenewal(60, last);
            for (ConfigurationLedger reader : readers) {
                reader.onRenewal(60, last);
                assertThat(reader.inForce())
                        .usingRecursiveComparison()
                        .ignoringFields("readThrough")
                        .isEqualTo(full.inForce());
                assertThat(reader.isLogStateKnown()).isTrue();
            }
        }
    }

    private static void appendRandom(
            ConfigurationLedger full,
            List<ConfigurationLedger> readers,
            int[] starts,
            int offset,
            List<AcceptedConfiguration> published,
            Random random) {
        AcceptedConfiguration confirmed = full.confirmedState().orElseThrow();
        boolean renewal = random.nextInt(8) == 0;
        // On average every fourth publication repeats the previous one, as after a lost response.
        if (published.isEmpty() || random.nextInt(4) > 0) {
            long base = Math.max(0, full.inForce().version() - random.nextInt(3));
            published.add(new AcceptedConfiguration(base, "p" + offset, "document " + offset, 0));
        }
        AcceptedConfiguration sent = published.get(published.size() - 1);
        for (int i = -1; i < readers.size(); i++) {
            ConfigurationLedger reader = i < 0 ? full : readers.get(i);
            if (i >= 0 && offset < starts[i]) {
                continue;
            }
            long before = reader.inForce().version();
            if (renewal) {
                reader.onRenewal(offset, confirmed);
            } else {
                reader.onPublication(offset, sent.publicationId(), sent.version(), sent.document());
            }
            assertThat(reader.inForce().version()).isGreaterThanOrEqualTo(before);
            assertThat(reader.inForce().version()).isLessThanOrEqualTo(full.inForce().version());
        }
    }

    private static ConfigurationLedger newLedger() {
        return ConfigurationLedger.create(document -> !document.equals("bad"));
    }
}
