package org.dogwoodwood.standins.log;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The retained records of one stream. Not thread-safe. */
final class LogStream {

    private final ArrayDeque<StoredRecord> records = new ArrayDeque<>();
    private final Map<String, Long> offsetsByPublication = new HashMap<>();
    private long nextOffset;

    private LogStream() {}

    /** Returns an empty stream. */
    static LogStream create() {
        return new LogStream();
    }

    /** Appends a record and returns its offset. */
    long append(String publicationId, byte[] data, long nowMillis) {
        long offset = nextOffset++;
        records.addLast(new StoredRecord(offset, nowMillis, publicationId, data));
        offsetsByPublication.put(publicationId, offset);
        return offset;
    }

    /** Returns the offset of the latest retained record with the given publication id. */
    Optional<Long> findOffset(String publicationId) {
        return Optional.ofNullable(offsetsByPublication.get(publicationId));
    }

    /** Returns at most {@code max} records from an offset on. */
    List<StoredRecord> read(long from, int max) {
        List<StoredRecord> found = new ArrayList<>();
        for (StoredRecord entry : records) {
            if (found.size() == max) {
                break;
            }
            if (entry.offset() >= from) {
                found.add(entry);
            }
        }
        return found;
    }

    /** Drops the records below an offset. */
    void expireBefore(long offset) {
        while (!records.isEmpty() && records.peekFirst().offset() < offset) {
            removeFirst();
        }
    }

    /** Drops the records appended before a time. */
    void expireOlderThan(long timestampMillis) {
        while (!records.isEmpty() && records.peekFirst().timestampMillis() < timestampMillis) {
            removeFirst();
        }
    }

    /** Returns the offset of the first retained record, or the next offset if there is none. */
    long firstOffset() {
        return records.isEmpty() ? nextOffset : records.peekFirst().offset();
    }

    /** Returns the offset that the next record will get. */
    long nextOffset() {
        return nextOffset;
    }

    private void removeFirst() {
        StoredRecord removed = records.removeFirst();
        offsetsByPublication.remove(removed.publicationId(), removed.offset());
    }
}
