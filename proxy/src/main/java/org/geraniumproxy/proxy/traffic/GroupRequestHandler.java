package org.geraniumproxy.proxy.traffic;

import java.util.concurrent.CompletableFuture;
import org.geraniumproxy.core.routing.GroupRequest;
import org.geraniumproxy.core.routing.GroupResult;

/** Serves admitted requests for the groups that this VM coordinates or stands by for. */
@FunctionalInterface
public interface GroupRequestHandler {
    /**
     * Serves a request.
     *
     * @param request the request
     * @return the result; never completes exceptionally
     */
    CompletableFuture<GroupResult> handle(GroupRequest request);
}
