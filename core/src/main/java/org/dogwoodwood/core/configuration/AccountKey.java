package org.dogwoodwood.core.configuration;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Objects;
import java.util.regex.Pattern;

/**
 * The SHA-256 digest of the key with which a client account identifies itself. The key in clear
 * text is never kept.
 *
 * @param digest the digest as 64 lower-case hexadecimal digits
 */
public record AccountKey(String digest) implements Comparable<AccountKey> {

    private static final Pattern DIGEST = Pattern.compile("[0-9a-f]{64}");
    private static final int LABEL_CHARS = 8;

    /**
     * Checks the digest. The message does not contain it, since it may be a key in clear text.
     *
     * @throws IllegalArgumentException if it is not a SHA-256 digest
     */
    public AccountKey {
        Objects.requireNonNull(digest, "digest");
        if (!isDigest(digest)) {
            throw new IllegalArgumentException(
                    "A key digest must have 64 lower-case hexadecimal digits.");
        }
    }

    /** Returns the digest of a key in clear text, not null. */
    public static AccountKey fromClearText(String key) {
        try {
            MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
            byte[] digest = sha256.digest(key.getBytes(StandardCharsets.UTF_8));
            return new AccountKey(HexFormat.of().formatHex(digest));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("Every Java platform has SHA-256.", e);
        }
    }

    /** Returns whether a text has the form of a digest. */
    public static boolean isDigest(String text) {
        return DIGEST.matcher(text).matches();
    }

    /** Returns the first 8 digits, which identify the key in log lines. */
    public String label() {
        return digest.substring(0, LABEL_CHARS);
    }

    @Override
    public int compareTo(AccountKey other) {
        return digest.compareTo(other.digest);
    }
}
