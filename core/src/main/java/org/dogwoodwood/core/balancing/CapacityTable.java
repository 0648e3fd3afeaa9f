package org.dogwoodwood.core.balancing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Queue;
import org.dogwoodwood.core.model.FreeCapacity;

/**
 * The free capacity of each service and data centre, of which nodes inform each other by gossip.
 * The newest estimate wins, by its age and not by any clock that nodes would have to share.
 * Thread-safe, since the traffic thread adds estimates and the control thread sends them.
 */
public final class CapacityTable {

    /** Age at which an estimate says nothing of the present load any more. */
    private static final long MAX_AGE_NANOS = 3_000_000_000L;

    /** Bounds the bytes of one gossip message; entries take turns if there are more. */
    private static final int MAX_SENT = 8;

    /** Bounds the time to compose one message. */
    private static final int MAX_EXAMINED = 64;

    private static final int MAX_ENTRIES = 4_096;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final String ownDataCentre;
    private final Map<Key, Entry> entries = new HashMap<>();
    private final Queue<Key> turns = new ArrayDeque<>();

    private CapacityTable(String ownDataCentre) {
        this.ownDataCentre = Objects.requireNonNull(ownDataCentre, "ownDataCentre");
    }

    /**
     * Returns an empty table.
     *
     * @param ownDataCentre the data centre of this node, not null
     */
    public static CapacityTable create(String ownDataCentre) {
        return new CapacityTable(ownDataCentre);
    }

    /**
     * Records an estimate unless a newer one is known.
     *
     * @param capacity the estimate, not null
     * @param nowNanos the current time on the monotonic clock, in nanoseconds
     */
    public synchronized void add(FreeCapacity capacity, long nowNanos) {
        if (capacity.ageMillis() > MAX_AGE_NANOS / NANOS_PER_MILLI) {
            return;
        }
        long estimatedNanos = nowNanos - capacity.ageMillis() * NANOS_PER_MILLI;
        Key key = new Key(capacity.dataCentre(), capacity.service());
        Entry known = entries.get(key);
        if (known == null) {
            if (entries.size() >= MAX_ENTRIES) {
                return;
            }
            turns.add(key);
        }
        if (known == null || estimatedNanos - known.estimatedNanos() > 0) {
            entries.put(key, new Entry(capacity, estimatedNanos));
        }
    }

    /** Returns the newest estimate of a service and data centre, with its present age. */
    public synchronized Optional<FreeCapacity> find(
            String service, String dataCentre, long nowNanos) {
        return Optional.ofNullable(entries.get(new Key(dataCentre, service)))
                .filter(entry -> entry.isCurrent(nowNanos))
                .map(entry -> entry.at(nowNanos));
    }

    /**
     * Returns the estimates for a message to a peer. Another data centre gets only those of this
     * one, since traffic between data centres is expensive.
     *
     * @param peerDataCentre the data centre of the peer, not null
     * @param nowNanos the current time on the monotonic clock, in nanoseconds
     */
    public synchronized List<FreeCapacity> messageTo(String peerDataCentre, long nowNanos) {
        boolean local = peerDataCentre.equals(ownDataCentre);
        List<FreeCapacity> message = new ArrayList<>();
        int examined = Math.min(MAX_EXAMINED, turns.size());
        for (int i = 0; i < examined && message.size() < MAX_SENT; i++) {
            Key key = turns.remove();
            Entry entry = entries.get(key);
            if (!entry.isCurrent(nowNanos)) {
                entries.remove(key);
                continue;
            }
            turns.add(key);
            if (local || key.dataCentre().equals(ownDataCentre)) {
                message.add(entry.at(nowNanos));
            }
        }
        return message;
    }

    private record Key(String dataCentre, String service) {}

    private record Entry(FreeCapacity capacity, long estimatedNanos) {

        boolean isCurrent(long nowNanos) {
            return nowNanos - estimatedNanos <= MAX_AGE_NANOS;
        }

        FreeCapacity at(long nowNanos) {
            return new FreeCapacity(
                    capacity.dataCentre(),
                    capacity.service(),
                    capacity.freeSlots(),
                    capacity.serviceMicros(),
                    Math.max(0, (nowNanos - estimatedNanos) / NANOS_PER_MILLI));
        }
    }
}
