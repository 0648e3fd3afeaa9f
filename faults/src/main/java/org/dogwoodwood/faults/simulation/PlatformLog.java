package org.dogwoodwood.faults.simulation;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/** A simulated log service of the platform with offsets, retention, outages and lost responses. */
public final class PlatformLog {

    private static final long DELAY_NANOS = 2 * EventLoop.MILLISECOND;
    private static final long SLOW_DELAY_NANOS = 1_500 * EventLoop.MILLISECOND;

    /** The streams of the log. */
    public enum Stream {
        MEMBERSHIP,
        CONFIGURATION
    }

    /** A stored record. */
    public record StoredRecord(long offset, long timestampMillis, String id, LogEntry entry) {}

    /**
     * The response to a read: the records from an offset, or the first retained offset if that one
     * has expired.
     */
    public record Page(boolean expired, long firstOffset, List<StoredRecord> records) {}

    private static final class StreamState {
        private final List<StoredRecord> records = new ArrayList<>();
        private final Set<String> ids = new HashSet<>();
        private long firstOffset;
    }

    private final EventLoop loop;
    private final Journal journal;
    private final Map<Stream, StreamState> streams = new EnumMap<>(Stream.class);
    private long acceptedVersion;
    private boolean down;
    private boolean slow;
    private int responsesToLose;

    /** Creates an empty log. */
    public PlatformLog(EventLoop loop, Journal journal) {
        this.loop = loop;
        this.journal = journal;
        for (Stream stream : Stream.values()) {
            streams.put(stream, new StreamState());
        }
    }

    /** Sets whether appends and reads fail. */
    public void setDown(boolean value) {
        down = value;
    }

    /** Sets whether the log responds slowly. */
    public void setSlow(boolean value) {
        slow = value;
    }

    /** Loses the responses to the given number of appends, which still take effect. */
    public void loseAppendResponses(int count) {
        responsesToLose = count;
    }

    /** Drops all records older than the given time by the clock of the log, in milliseconds. */
    public void expireBefore(long timestampMillis) {
        for (StreamState state : streams.values()) {
            while (!state.records.isEmpty()
                    && state.records.get(0).timestampMillis() < timestampMillis) {
                state.firstOffset = state.records.remove(0).offset() + 1;
            }
        }
    }

    /** Returns the first retained offset of a stream. */
    public long firstOffset(Stream stream) {
        return streams.get(stream).firstOffset;
    }

    /** Returns the latest accepted version of the configuration, or 0 before the first one. */
    public long acceptedVersion() {
        return acceptedVersion;
    }

    /**
     * Appends a record unless one with the same id was appended before.
     *
     * @param onResult is called with {@code true} if a response confirmed the append; {@code false}
     *     does not mean that it had no effect
     */
    public void append(Stream stream, String id, LogEntry entry, Consumer<Boolean> onResult) {
        loop.schedule(
                delayNanos(),
                () -> {
                    if (down) {
                        onResult.accept(false);
                        return;
                    }
                    store(stream, id, entry);
                    boolean lost = responsesToLose > 0;
                    responsesToLose -= lost ? 1 : 0;
                    loop.schedule(delayNanos(), () -> onResult.accept(!lost));
                });
    }

    /** Reads the records from an offset; {@code onResult} receives null if the log is down. */
    public void read(Stream stream, long fromOffset, Consumer<Page> onResult) {
        loop.schedule(
                delayNanos(),
                () -> {
                    Page page = down ? null : page(streams.get(stream), fromOffset);
                    loop.schedule(delayNanos(), () -> onResult.accept(page));
                });
    }

    private static Page page(StreamState state, long fromOffset) {
        if (fromOffset < state.firstOffset) {
            return new Page(true, state.firstOffset, List.of());
        }
        List<StoredRecord> records =
                state.records.stream().filter(stored -> stored.offset() >= fromOffset).toList();
        return new Page(false, state.firstOffset, records);
    }

    private void store(Stream stream, String id, LogEntry entry) {
        StreamState state = streams.get(stream);
        if (!state.ids.add(id)) {
            return;
        }
        long offset =
                state.records.isEmpty()
                        ? state.firstOffset
                        : state.records.get(state.records.size() - 1).offset() + 1;
        long time = loop.now() / EventLoop.MILLISECOND;
        state.records.add(new StoredRecord(offset, time, id, entry));
        if (entry instanceof LogEntry.Publication publication
                && publication.baseVersion() == acceptedVersion) {
            acceptedVersion++;
            journal.add(
                    new Event.PublicationAccepted(loop.now(), acceptedVersion, publication.id()));
        }
    }

    private long delayNanos() {
        return slow ? SLOW_DELAY_NANOS : DELAY_NANOS;
    }
}
