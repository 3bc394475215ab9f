package org.geraniumproxy.core.limit;

import java.time.Duration;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.VmName;

/**
 * Request of a VM to the owner of a customer's rate.
 *
 * @param borrower VM that asks
 * @param customer customer whose tokens are requested
 * @param requestId identifier that grows with each request of the VM for the customer; a repeated request has the same
 * @param needed number of tokens for operations that wait, not negative
 * @param ahead number of further tokens for operations that are expected; granted only if available at once
 * @param maximumWait longest time until a needed token is due
 */
public record TokenRequest(
        VmName borrower, CustomerName customer, long requestId, int needed, int ahead, Duration maximumWait) {
    /**
     * Validates the request.
     *
     * @throws IllegalArgumentException if a number or the wait is negative
     */
    public TokenRequest {
        if (needed < 0 || ahead < 0 || maximumWait.isNegative()) {
            throw new IllegalArgumentException("the numbers and the wait of a token request must not be negative");
        }
    }
}
