package org.geraniumproxy.engine.peer;

import org.geraniumproxy.core.caller.PositionAnswer;
import org.geraniumproxy.core.caller.PositionRequest;
import org.geraniumproxy.core.fleet.PeerMessage;
import org.geraniumproxy.core.limit.RateHandover;
import org.geraniumproxy.core.limit.TokenAnswer;
import org.geraniumproxy.core.limit.TokenRequest;

/** Receives messages of other VMs. The methods are called on the receiver thread and must not block. */
public interface PeerReceiver {
    /**
     * Called with the periodic message of a VM.
     *
     * @param message state of the sender
     */
    void onPeerMessage(PeerMessage message);

    /**
     * Called with a request for tokens of a customer whose rate this VM should own.
     *
     * @param request request of another VM
     */
    void onTokenRequest(TokenRequest request);

    /**
     * Called with the answer to a request of this VM.
     *
     * @param answer answer of the owner
     */
    void onTokenAnswer(TokenAnswer answer);

    /**
     * Called with the handover of rates that another VM owned.
     *
     * @param handover rates that the sender doesn't lend any more
     */
    void onRateHandover(RateHandover handover);

    /**
     * Called with a request for the positions of the primaries that this VM watches.
     *
     * @param request request of another VM
     */
    void onPositionRequest(PositionRequest request);

    /**
     * Called with positions that this VM asked for.
     *
     * @param answer answer of a watcher
     */
    void onPositionAnswer(PositionAnswer answer);
}
