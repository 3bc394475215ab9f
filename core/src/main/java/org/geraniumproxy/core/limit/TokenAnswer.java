package org.geraniumproxy.core.limit;

import java.time.Duration;
import org.geraniumproxy.core.identity.CustomerName;

/** Answer to a {@link TokenRequest}. */
public sealed interface TokenAnswer {
    /**
     * Returns the customer of the request.
     *
     * @return name of the customer
     */
    CustomerName customer();

    /**
     * Returns the identifier of the request.
     *
     * @return identifier chosen by the borrower
     */
    long requestId();

    /**
     * The owner granted tokens, possibly none.
     *
     * @param customer customer of the request
     * @param requestId identifier of the request
     * @param granted number of tokens, at most as many as were requested
     * @param delay time until all granted tokens may be used
     * @param retryAfter time until a further token is available
     */
    record Granted(CustomerName customer, long requestId, int granted, Duration delay, Duration retryAfter)
            implements TokenAnswer {
        /**
         * Validates the answer.
         *
         * @throws IllegalArgumentException if a number or a time is negative
         */
        public Granted {
            if (granted < 0 || delay.isNegative() || retryAfter.isNegative()) {
                throw new IllegalArgumentException("a token grant must not be negative");
            }
        }
    }

    /**
     * The VM doesn't lend tokens of the customer, because another VM owns the rate or may still lend it.
     *
     * @param customer customer of the request
     * @param requestId identifier of the request
     */
    record NotLending(CustomerName customer, long requestId) implements TokenAnswer {}
}
