package org.geraniumproxy.engine.traffic;

import org.geraniumproxy.core.caller.PositionAnswer;
import org.geraniumproxy.core.caller.PositionRequest;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.limit.RateHandover;
import org.geraniumproxy.core.limit.TokenAnswer;
import org.geraniumproxy.core.limit.TokenRequest;

/** Sends requests to other VMs and answers to their requests. The methods don't block; messages may be lost. */
public interface PeerSender {
    /**
     * Sends a request to the owner of a rate.
     *
     * @param request request of this VM
     * @param owner receiver of the request
     * @param address host and port of the receiver
     */
    void send(TokenRequest request, VmName owner, String address);

    /**
     * Sends an answer.
     *
     * @param answer answer of this VM
     * @param borrower receiver of the answer
     * @param address host and port of the receiver
     */
    void send(TokenAnswer answer, VmName borrower, String address);

    /**
     * Sends the handover of rates.
     *
     * @param handover rates that this VM doesn't lend any more
     * @param owner next owner of the rates
     * @param address host and port of the receiver
     */
    void send(RateHandover handover, VmName owner, String address);

    /**
     * Sends a request for the positions of primaries.
     *
     * @param request request of this VM
     * @param watcher receiver of the request
     * @param address host and port of the receiver
     */
    void send(PositionRequest request, VmName watcher, String address);

    /**
     * Sends the positions of the primaries that this VM watches.
     *
     * @param answer answer of this VM
     * @param requester receiver of the answer
     * @param address host and port of the receiver
     */
    void send(PositionAnswer answer, VmName requester, String address);
}
