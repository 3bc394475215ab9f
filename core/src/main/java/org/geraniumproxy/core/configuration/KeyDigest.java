package org.geraniumproxy.core.configuration;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.regex.Pattern;

/**
 * SHA-256 digest of a customer's API key. The key itself is never stored.
 *
 * @param hexadecimal the digest as 64 lower-case hexadecimal digits
 */
public record KeyDigest(String hexadecimal) {
    private static final Pattern VALID_DIGEST = Pattern.compile("[0-9a-f]{64}");

    /**
     * Validates the digest.
     *
     * @throws IllegalArgumentException if it is not 64 lower-case hexadecimal digits
     */
    public KeyDigest {
        if (!isValid(hexadecimal)) {
            throw new IllegalArgumentException("key digest must be 64 lower-case hexadecimal digits");
        }
    }

    /**
     * Tells whether a text is a well-formed digest.
     *
     * @param hexadecimal the text to check
     * @return true if it is 64 lower-case hexadecimal digits
     */
    public static boolean isValid(String hexadecimal) {
        return VALID_DIGEST.matcher(hexadecimal).matches();
    }

    /**
     * Computes the digest of a key.
     *
     * @param key the key as the caller presents it
     * @return the digest of its UTF-8 bytes
     */
    public static KeyDigest ofKey(String key) {
        return new KeyDigest(sha256(key));
    }

    /**
     * Computes the SHA-256 digest of a text in UTF-8.
     *
     * @param text text to hash
     * @return the digest as 64 lower-case hexadecimal digits
     */
    public static String sha256(String text) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            return HexFormat.of().formatHex(digest.digest(text.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(
                    "SHA-256 is not available, although every Java platform must provide it", e);
        }
    }
}
