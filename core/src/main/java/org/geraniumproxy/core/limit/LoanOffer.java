package org.geraniumproxy.core.limit;

import java.time.Duration;

/**
 * A lender's answer to a request for tokens.
 *
 * @param granted tokens that the borrower may use, zero if the lender has none to lend
 * @param validity time during which the borrower may use them, from when it sent the request
 * @param remaining tokens left at the lender, a hint for later requests
 */
public record LoanOffer(int granted, Duration validity, int remaining) {}
