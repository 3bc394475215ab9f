package org.geraniumproxy.proxy.peer;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.outcome.Outcome;
import org.geraniumproxy.core.routing.Access;
import org.geraniumproxy.core.routing.GroupRequest;
import org.geraniumproxy.core.routing.GroupResult;
import org.geraniumproxy.core.session.SessionRequirement;
import org.geraniumproxy.protocol.ForwardReply;
import org.geraniumproxy.protocol.ForwardRequest;
import org.geraniumproxy.proxy.encoding.OutcomeMessages;
import org.geraniumproxy.proxy.encoding.PositionMessages;

/** Translates forwarded requests. Deadlines travel as the time that is left, because clocks of VMs differ. */
final class ForwardMessages {
    private ForwardMessages() {}

    static ForwardRequest write(GroupRequest request, Duration timeLeft) {
        return ForwardRequest.newBuilder()
                .setCustomer(request.customer().value())
                .setGroup(request.group().value())
                .setRequestNumber(request.requestNumber())
                .setStatement(request.statement())
                .setDeadlineMillis(timeLeft.toMillis())
                .setAccess(
                        request.access() == Access.WRITE
                                ? org.geraniumproxy.protocol.Access.WRITE
                                : org.geraniumproxy.protocol.Access.READ)
                .setRepeatable(request.repeatable())
                .setAcceptedAgeMillis(request.acceptedAge().toMillis())
                .setLastWrite(PositionMessages.encode(request.session().lastWrite()))
                .setLastRead(PositionMessages.encode(request.session().lastRead()))
                .build();
    }

    /**
     * Reads a request.
     *
     * @throws IllegalArgumentException if a field has an impossible value
     */
    static GroupRequest read(ForwardRequest message, Instant now) {
        return new GroupRequest(
                message.getRequestNumber(),
                CustomerName.of(message.getCustomer()),
                GroupName.of(message.getGroup()),
                message.getStatement(),
                readAccess(message.getAccess()),
                message.getRepeatable(),
                Duration.ofMillis(message.getAcceptedAgeMillis()),
                now.plusMillis(message.getDeadlineMillis()),
                new SessionRequirement(
                        PositionMessages.decode(message.getLastWrite()),
                        PositionMessages.decode(message.getLastRead())));
    }

    static ForwardReply write(long requestNumber, GroupResult result) {
        return ForwardReply.newBuilder()
                .setOutcome(OutcomeMessages.encode(requestNumber, result.outcome()))
                .setLastWrite(PositionMessages.encode(result.session().lastWrite()))
                .setLastRead(PositionMessages.encode(result.session().lastRead()))
                .setServedBy(result.servedBy().map(BackendServerName::value).orElse(""))
                .setServedByReplica(result.servedByReplica())
                .build();
    }

    /** Reads a reply; one with an impossible value says nothing about the request. */
    static GroupResult read(long requestNumber, ForwardReply reply, SessionRequirement before) {
        try {
            Outcome outcome = OutcomeMessages.decode(requestNumber, reply.getOutcome());
            SessionRequirement session = new SessionRequirement(
                    PositionMessages.decode(reply.getLastWrite()), PositionMessages.decode(reply.getLastRead()));
            Optional<BackendServerName> servedBy = Optional.of(reply.getServedBy())
                    .filter(name -> !name.isEmpty())
                    .map(BackendServerName::of);
            return new GroupResult(outcome, session, servedBy, reply.getServedByReplica());
        } catch (IllegalArgumentException e) {
            return GroupResult.unserved(Outcome.unknown("the coordinator's reply has an impossible value"), before);
        }
    }

    private static Access readAccess(org.geraniumproxy.protocol.Access access) {
        return switch (access) {
            case READ -> Access.READ;
            case WRITE -> Access.WRITE;
            case ACCESS_UNSPECIFIED, UNRECOGNIZED -> throw new IllegalArgumentException("access is missing");
        };
    }
}
