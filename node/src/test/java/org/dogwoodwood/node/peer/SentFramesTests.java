package org.dogwoodwood.node.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.dogwoodwood.codec.gossip.ControlFrameTypes;
import org.dogwoodwood.codec.wire.ControlFrame;
import org.dogwoodwood.codec.wire.PongFrame;
import org.dogwoodwood.node.metrics.NodeMetrics;
import org.junit.jupiter.api.Test;

class SentFramesTests {

    /** Guards against expensive bytes that are counted as local, or as another kind of frame. */
    @Test
    void countsByKindAndPlace() {
        NodeMetrics metrics = NodeMetrics.create();
        SentFrames sent = SentFrames.create();
        sent.publish(metrics);

        sent.add(
                FrameKind.of(ControlFrame.of(ControlFrameTypes.GOSSIP, new byte[1])),
                PeerPlace.of(Optional.of("a"), Optional.of("b")),
                70);
        sent.add(
                FrameKind.of(PongFrame.of(PongFrame.UNSOLICITED, Optional.empty())),
                PeerPlace.of(Optional.of("a"), Optional.of("a")),
                9);

        assertThat(metrics.totalFields())
                .containsExactly(
                        "sent_bytes.gossip.other", 70L,
                        "sent_bytes.load_report.local", 9L,
                        "sent_frames.gossip.other", 1L,
                        "sent_frames.load_report.local", 1L);
        assertThat(metrics.prometheusText())
                .contains("dogwoodwood_sent_bytes_total{kind=\"gossip\",place=\"other\"} 70");
    }
}
