package org.geraniumproxy.proxy.peer;

import java.util.concurrent.CompletableFuture;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.limit.LoanOffer;
import org.geraniumproxy.core.membership.Vm;
import org.geraniumproxy.core.routing.GroupRequest;
import org.geraniumproxy.core.routing.GroupResult;
import org.geraniumproxy.protocol.ViewReply;
import org.geraniumproxy.protocol.ViewRequest;

/** Calls to other VMs of the system. */
public interface PeerClient extends AutoCloseable {
    /**
     * Forwards a request to a coordinator. The future never completes exceptionally: a request that could not be sent
     * is not run, one that was sent without an answer is unknown.
     *
     * @param vm the coordinator
     * @param request the request
     * @return the coordinator's result
     */
    CompletableFuture<GroupResult> forward(Vm vm, GroupRequest request);

    /**
     * Exchanges views and heartbeats.
     *
     * @param vm the peer
     * @param request what this VM knows
     * @return what the peer knows; completes exceptionally if the peer can't be reached in time
     */
    CompletableFuture<ViewReply> exchangeView(Vm vm, ViewRequest request);

    /**
     * Asks a holder for rate tokens.
     *
     * @param vm the holder
     * @param customer the customer
     * @param wanted tokens wanted, at least one
     * @param loanIdentifier identifier of the loan, unique on this VM
     * @param rosterRevision revision of the roster that the borrower knows
     * @return the offer; completes exceptionally if the holder can't be reached in time
     */
    CompletableFuture<LoanOffer> borrow(
            Vm vm, CustomerName customer, int wanted, long loanIdentifier, long rosterRevision);

    /**
     * Reports how a loan was used.
     *
     * @param vm the lender
     * @param customer the customer
     * @param loanIdentifier identifier of the loan
     * @param spent tokens spent
     * @param unspent tokens given back
     */
    void returnTokens(Vm vm, CustomerName customer, long loanIdentifier, int spent, int unspent);

    /** Closes all links. */
    @Override
    void close();
}
