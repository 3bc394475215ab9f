package org.geraniumproxy.core.limit;

import org.geraniumproxy.core.identity.VmName;

/**
 * Identifies a loan at its lender.
 *
 * @param borrower the borrowing VM
 * @param identifier identifier of the loan, unique on the borrowing VM
 */
public record LoanKey(VmName borrower, long identifier) {}
