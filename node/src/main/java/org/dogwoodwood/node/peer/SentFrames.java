package org.dogwoodwood.node.peer;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import org.dogwoodwood.node.metrics.NodeMetrics;

/**
 * Counts the frames sent to peers and their bytes, by kind and place. May be used on any thread.
 */
public final class SentFrames {

    private final Map<FrameKind, Map<PeerPlace, Total>> totals = new EnumMap<>(FrameKind.class);

    private SentFrames() {
        for (FrameKind kind : FrameKind.values()) {
            Map<PeerPlace, Total> byPlace = new EnumMap<>(PeerPlace.class);
            for (PeerPlace place : PeerPlace.values()) {
                byPlace.put(place, new Total(new LongAdder(), new LongAdder()));
            }
            totals.put(kind, byPlace);
        }
    }

    /** Returns counters that are zero. */
    public static SentFrames create() {
        return new SentFrames();
    }

    /** Counts one frame with its length prefix. */
    void add(FrameKind kind, PeerPlace place, int frameBytes) {
        Total total = totals.get(kind).get(place);
        total.bytes.add(frameBytes);
        total.frames.increment();
    }

    /** Adds the counters to the metrics of the node. */
    public void publish(NodeMetrics metrics) {
        totals.forEach(
                (kind, byPlace) ->
                        byPlace.forEach((place, total) -> publish(metrics, kind, place, total)));
    }

    private static void publish(NodeMetrics metrics, FrameKind kind, PeerPlace place, Total total) {
        String[] labels = {"kind", kind.label(), "place", place.label()};
        metrics.addTotal("dogwoodwood_sent_bytes_total", total.bytes::sum, labels);
        metrics.addTotal("dogwoodwood_sent_frames_total", total.frames::sum, labels);
    }

    private record Total(LongAdder bytes, LongAdder frames) {}
}
