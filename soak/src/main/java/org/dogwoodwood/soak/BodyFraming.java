package org.dogwoodwood.soak;

import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** How an answer tells where its body ends. */
enum BodyFraming {
    LENGTH {
        @Override
        String encode(String head, String body) {
            return head + "Content-Length: " + body.length() + "\r\n\r\n" + body;
        }
    },
    CHUNKED {
        @Override
        String encode(String head, String body) {
            int middle = body.length() / 2;
            return head
                    + "Transfer-Encoding: chunked\r\n\r\n"
                    + chunk(body.substring(0, middle))
                    + chunk(body.substring(middle))
                    + chunk("");
        }
    },
    UNTIL_CLOSE {
        @Override
        String encode(String head, String body) {
            return head + "Connection: close\r\n\r\n" + body;
        }
    };

    abstract String encode(String head, String body);

    /** Returns the bytes of an answer; the head ends with a line break. */
    byte[] toBytes(String head, String body) {
        return encode(head, body).getBytes(StandardCharsets.ISO_8859_1);
    }

    private static String chunk(String content) {
        return String.format(Locale.ROOT, "%x\r\n%s\r\n", content.length(), content);
    }
}
