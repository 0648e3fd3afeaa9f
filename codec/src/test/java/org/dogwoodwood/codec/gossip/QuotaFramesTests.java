package org.dogwoodwood.codec.gossip;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Arrays;
import java.util.List;
import org.dogwoodwood.core.DogwoodwoodException;
import org.dogwoodwood.core.quota.QuotaGrant;
import org.dogwoodwood.core.quota.SlotId;
import org.junit.jupiter.api.Test;

/** Guards against entries and grants that are lost, reordered or read from a malformed payload. */
class QuotaFramesTests {

    private static final QuotaFrames.Request REQUEST =
            new QuotaFrames.Request(
                    true,
                    List.of(
                            new QuotaFrames.Entry(new SlotId("pulo780", 3), 2, 40),
                            new QuotaFrames.Entry(new SlotId("kata1", 0), 300, 0)));

    @Test
    void decodesWhatItEncodes() {
        byte[] request = QuotaFrames.encodeRequest(REQUEST);
        assertThat(QuotaFrames.decodeRequest(request)).isEqualTo(REQUEST);
        assertThat(request).hasSizeLessThan(30);

        List<QuotaGrant> grants =
                List.of(
                        QuotaGrant.of(7),
                        QuotaGrant.exhausted(0, true, 120),
                        QuotaGrant.exhausted(1, false, 3),
                        QuotaGrant.notCoordinator());
        assertThat(QuotaFrames.decodeReply(QuotaFrames.encodeReply(grants))).isEqualTo(grants);
    }

    @Test
    void refusesMalformedPayloads() {
        byte[] request = QuotaFrames.encodeRequest(REQUEST);
        byte[] negative =
                QuotaFrames.encodeReply(List.of(new QuotaGrant(-1, QuotaGrant.State.GRANTED, 0)));

        assertThatThrownBy(
                        () -> QuotaFrames.decodeRequest(Arrays.copyOf(request, request.length - 1)))
                .isInstanceOf(DogwoodwoodException.class);
        assertThatThrownBy(() -> QuotaFrames.decodeReply(request))
                .isInstanceOf(DogwoodwoodException.class);
        assertThatThrownBy(() -> QuotaFrames.decodeReply(negative))
                .isInstanceOf(DogwoodwoodException.class);
    }
}
