package org.geraniumproxy.core.session;

/** Result of decoding the text of a session token. */
public sealed interface TokenDecoding {
    /**
     * The text is a valid token of the customer.
     *
     * @param token the decoded token
     */
    record Decoded(SessionToken token) implements TokenDecoding {}

    /**
     * The text is not a valid token.
     *
     * @param detail reason for the caller; contains no part of the text
     */
    record Malformed(String detail) implements TokenDecoding {}

    /** The token belongs to another customer. */
    record Foreign() implements TokenDecoding {}
}
