package org.dogwoodwood.node.memory;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against memory for bodies that is exceeded, or reserved or released twice. */
class BodyMemoryTests {

    private static final int SMALL = BodyMemory.SMALL_BODY_BYTES;

    private final BodyMemory memory = BodyMemory.of(8 * SMALL);

    @Test
    void keepsAQuarterForSmallBodies() {
        assertThat(memory.reservation().tryGrow(6 * SMALL)).isTrue();
        assertThat(memory.reservation().tryGrow(SMALL + 1)).isFalse();
        assertThat(memory.reservation().tryGrow(SMALL)).isTrue();
        assertThat(memory.reservation().tryGrow(SMALL)).isTrue();
        assertThat(memory.reservation().tryGrow(1)).isFalse();
        assertThat(memory.heldBytes()).isEqualTo(8 * SMALL);
    }

    @Test
    void aBodyThatGrowsBecomesLarge() {
        BodyReservation growing = memory.reservation();
        assertThat(growing.tryGrow(SMALL)).isTrue();
        assertThat(memory.reservation().tryGrow(5 * SMALL)).isTrue();

        assertThat(growing.tryGrow(1)).isFalse();
        assertThat(memory.heldBytes()).isEqualTo(6 * SMALL);
    }

    @Test
    void releasesOnceAndGrowsNoMore() {
        BodyReservation kept = memory.reservation();
        BodyReservation released = memory.reservation();
        assertThat(kept.tryGrow(10)).isTrue();
        assertThat(released.tryGrow(20)).isTrue();

        released.release();
        released.release();

        assertThat(memory.heldBytes()).isEqualTo(10);
        assertThat(released.tryGrow(1)).isFalse();
        assertThat(memory.heldBytes()).isEqualTo(10);
    }

    @Test
    void usesAPartOfTheMemoryOfTheProcess() {
        assertThat(BodyMemory.ofProcess(128L << 20).largestBodyBytes()).isEqualTo(24L << 20);
    }
}
