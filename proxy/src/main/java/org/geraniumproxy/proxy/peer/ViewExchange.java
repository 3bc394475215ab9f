package org.geraniumproxy.proxy.peer;

import java.util.concurrent.CompletableFuture;
import org.geraniumproxy.protocol.ViewReply;
import org.geraniumproxy.protocol.ViewRequest;

/** Answers the view exchanges of other VMs. */
@FunctionalInterface
public interface ViewExchange {
    /**
     * Answers an exchange.
     *
     * @param request what the other VM knows
     * @return what this VM knows
     */
    CompletableFuture<ViewReply> exchange(ViewRequest request);
}
