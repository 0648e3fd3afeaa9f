package org.dogwoodwood.soak;

import java.nio.charset.StandardCharsets;

/**
 * A request of a client.
 *
 * @param id the id, unique for each attempt of a client
 * @param service the service that is to run it
 * @param unsafe whether it may run at most once
 * @param deadlineMillis how long the client waits
 */
record ClientRequest(String id, String service, boolean unsafe, int deadlineMillis) {

    private static final String BODY = "amount=5";

    private static final String UNSAFE_PREFIX = "unsafe-";
    private static final String SAFE_PREFIX = "safe-";

    /** Returns a request whose id tells whether it is unsafe. */
    static ClientRequest create(String number, String service, boolean unsafe, int deadlineMillis) {
        String prefix = unsafe ? UNSAFE_PREFIX : SAFE_PREFIX;
        return new ClientRequest(prefix + number, service, unsafe, deadlineMillis);
    }

    static boolean isUnsafe(String id) {
        return id.startsWith(UNSAFE_PREFIX);
    }

    byte[] toBytes() {
        String head =
                (unsafe ? "POST" : "GET")
                        + " /item HTTP/1.1\r\nHost: "
                        + (unsafe ? "write." : "read.")
                        + service
                        + "\r\n"
                        + PlatformNames.REQUEST_ID
                        + ": "
                        + id
                        + "\r\n"
                        + PlatformNames.DEADLINE_MILLIS
                        + ": "
                        + deadlineMillis
                        + "\r\n";
        String rest = unsafe ? "Content-Length: " + BODY.length() + "\r\n\r\n" + BODY : "\r\n";
        return (head + rest).getBytes(StandardCharsets.ISO_8859_1);
    }
}
