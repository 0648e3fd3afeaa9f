package org.dogwoodwood.node.guard;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class SentRequestsTests {

    private static final long TIMEOUT_MILLIS = 500;
    private static final long LATER_NANOS = 10_000_000_000L;

    private final SentRequests requests = SentRequests.create();

    /** Guards against a second attempt whose answer cannot be told from the first one. */
    @Test
    void admitsEachRequestOnce() {
        for (int number = 0; number < SentRequests.MAX_REQUESTS; number++) {
            assertThat(requests.addIfNew("id-" + number, TIMEOUT_MILLIS, 0)).isTrue();
        }
        for (int number = 0; number < SentRequests.MAX_REQUESTS; number++) {
            assertThat(requests.addIfNew("id-" + number, TIMEOUT_MILLIS, 0)).isFalse();
        }
    }

    /** Guards against a target that gets no more requests, and against memory that grows. */
    @Test
    void forgetsTheOldestAboveTheLimit() {
        for (int number = 0; number <= SentRequests.MAX_REQUESTS; number++) {
            assertThat(requests.addIfNew("id-" + number, TIMEOUT_MILLIS, 0)).isTrue();
        }
        assertThat(requests.addIfNew("id-1", TIMEOUT_MILLIS, 0)).isFalse();
        assertThat(requests.addIfNew("id-0", TIMEOUT_MILLIS, 0)).isTrue();
    }

    /** Guards against memory that grows with the number of calls. */
    @Test
    void forgetsRequestsAfterTheirDeadline() {
        requests.addIfNew("id", TIMEOUT_MILLIS, 0);
        assertThat(requests.addIfNew("id", TIMEOUT_MILLIS, 0)).isFalse();
        assertThat(requests.addIfNew("id", TIMEOUT_MILLIS, LATER_NANOS)).isTrue();
    }
}
