package org.geraniumproxy.core.limit;

import java.time.Duration;

/**
 * A lender's answer to a request for tokens.
 *
 * @param granted tokens that the borrower may use, zero if there are none
 * @param validity time from the sending of the request during which the borrower may use them
 * @param remaining tokens that remain with the lender
 */
public record LoanOffer(int granted, Duration validity, int remaining) {}
