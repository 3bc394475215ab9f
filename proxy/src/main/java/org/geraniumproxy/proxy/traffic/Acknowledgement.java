package org.geraniumproxy.proxy.traffic;

import java.util.Optional;
import org.geraniumproxy.core.identity.LogPosition;
import org.geraniumproxy.core.outcome.Outcome;
import org.geraniumproxy.core.pool.BackendReply;
import org.geraniumproxy.core.routing.GroupRequest;
import org.geraniumproxy.core.routing.GroupResult;
import org.geraniumproxy.core.session.SessionRequirement;
import org.geraniumproxy.proxy.failover.Durability;

/** Turns the commit of a write into its outcome: answered once it is durable, unknown otherwise. */
final class Acknowledgement {
    private final TrafficContext context;
    private final Durability durability;
    private final SeenPositions seen;

    Acknowledgement(TrafficContext context, Durability durability, SeenPositions seen) {
        this.context = context;
        this.durability = durability;
        this.seen = seen;
    }

    GroupResult afterWrite(GroupRequest request, Placed.At at, BackendReply.Completed completed) {
        LogPosition write = completed.position();
        seen.note(request.group(), write);
        if (!write.term().equals(at.view().term())) {
            return GroupResult.unserved(
                    Outcome.unknown(at.server() + " committed under another term"), request.session());
        }
        if (!isDurable(request, write)) {
            return GroupResult.unserved(
                    Outcome.unknown("the write was not proven to be on a majority before the deadline"),
                    request.session());
        }
        SessionRequirement session =
                new SessionRequirement(write, request.session().lastRead());
        return new GroupResult(Outcome.answered(completed.rows()), session, Optional.of(at.server()), false);
    }

    private boolean isDurable(GroupRequest request, LogPosition write) {
        return context.now().isBefore(request.deadline())
                && durability
                        .awaitDurable(request.group(), write, request.deadline())
                        .exceptionally(_ -> false)
                        .join();
    }
}
