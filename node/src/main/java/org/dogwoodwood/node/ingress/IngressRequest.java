package org.dogwoodwood.node.ingress;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Optional;
import org.dogwoodwood.codec.wire.RequestContent;
import org.dogwoodwood.core.configuration.ServiceDefinition;

/**
 * A complete request of a caller, including its body.
 *
 * @param parameters the parameters of the call, from its head and the configuration
 * @param arrivedNanos when its head arrived, on the monotonic clock, in nanoseconds
 * @param deadlineNanos when the answer is due, in nanoseconds
 * @param content the content of the request that the target receives
 */
record IngressRequest(
        CallParameters parameters, long arrivedNanos, long deadlineNanos, RequestContent content) {

    ServiceDefinition service() {
        return parameters.service();
    }

    String callClass() {
        return parameters.callClass();
    }

    Optional<String> key() {
        return parameters.key();
    }

    Optional<String> account() {
        return parameters.account();
    }

    int depth() {
        return parameters.depth();
    }

    boolean idempotent() {
        return parameters.idempotent();
    }

    /**
     * Returns the first 8 bytes of the SHA-256 of service, method, path and body. For a keyed call,
     * the account is included: an {@code Idempotency-Key} never gives one account the answer that
     * was kept for another.
     */
    long fingerprint() {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            update(digest, service().name());
            update(digest, content.method());
            update(digest, content.path());
            if (key().isPresent() && account().isPresent()) {
                update(digest, account().get());
            }
            digest.update(content.body());
            return ByteBuffer.wrap(digest.digest()).getLong();
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("Every Java platform has SHA-256.", e);
        }
    }

    private static void update(MessageDigest digest, String text) {
        digest.update(text.getBytes(StandardCharsets.UTF_8));
        digest.update((byte) 0);
    }
}
