package org.geraniumproxy.proxy.peer;

import java.util.concurrent.CompletableFuture;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.limit.LoanOffer;

/** Lends rate tokens of this VM's shares to other VMs. */
public interface TokenLender {
    /**
     * Lends tokens.
     *
     * @param borrower the VM that asks
     * @param customer the customer
     * @param wanted tokens wanted, at least one
     * @param loanIdentifier identifier of the loan, unique on the borrower
     * @param rosterRevision revision of the roster that the borrower knows
     * @return the offer
     */
    CompletableFuture<LoanOffer> lend(
            VmName borrower, CustomerName customer, int wanted, long loanIdentifier, long rosterRevision);

    /**
     * Notes how a loan was used.
     *
     * @param borrower the VM that borrowed
     * @param customer the customer
     * @param loanIdentifier identifier of the loan
     * @param spent tokens spent
     * @param unspent tokens given back
     * @return completes when it is noted
     */
    CompletableFuture<Void> returned(
            VmName borrower, CustomerName customer, long loanIdentifier, int spent, int unspent);
}
