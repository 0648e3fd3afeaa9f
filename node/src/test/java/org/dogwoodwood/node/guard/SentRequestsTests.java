package org.dogwoodwood.node.guard;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class SentRequestsTests {

    private static final long TIMEOUT_MILLIS = 500;
    private static final long LATER_NANOS = 10_000_000_000L;

    private final SentRequests requests = SentRequests.create();

    /** Guards against a repeat on a pooled connection after very many other requests. */
    @Test
    void countsRequestsAsRepeatedRatherThanForgettingOnes() {
        for (int number = 0; number < SentRequests.MAX_REQUESTS; number++) {
            assertThat(requests.add("id-" + number, TIMEOUT_MILLIS, 0)).isFalse();
        }
        assertThat(requests.add("id-0", TIMEOUT_MILLIS, 0)).isTrue();
        assertThat(requests.add("another", TIMEOUT_MILLIS, 0)).isTrue();
    }

    /** Guards against memory that grows with the number of calls. */
    @Test
    void forgetsRequestsAfterTheirDeadline() {
        for (int number = 0; number < SentRequests.MAX_REQUESTS; number++) {
            requests.add("id-" + number, TIMEOUT_MILLIS, 0);
        }
        assertThat(requests.add("another", TIMEOUT_MILLIS, LATER_NANOS)).isFalse();
        assertThat(requests.add("id-0", TIMEOUT_MILLIS, LATER_NANOS)).isFalse();
    }
}
