package org.geraniumproxy.proxy.caller;

import java.time.Duration;
import java.util.Optional;
import org.geraniumproxy.core.admission.CallerRequest;
import org.geraniumproxy.core.configuration.KeyDigest;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.routing.Access;
import org.geraniumproxy.protocol.ExecuteReply;
import org.geraniumproxy.protocol.ExecuteRequest;
import org.geraniumproxy.proxy.encoding.OutcomeMessages;
import org.geraniumproxy.proxy.traffic.EntryReply;

/** Translates callers' messages. The key ends here: what goes on holds its digest only. */
final class CallerMessages {
    private CallerMessages() {}

    static CallerRequest read(ExecuteRequest message) {
        return new CallerRequest(
                message.getRequestNumber(),
                Optional.of(message.getKey()).filter(key -> !key.isEmpty()).map(KeyDigest::ofKey),
                message.getSessionToken(),
                message.getRoute(),
                message.getStatementKey(),
                message.getStatement(),
                Duration.ofMillis(message.getDeadlineMillis()),
                readAccess(message.getAccess()),
                message.getRepeatable(),
                Duration.ofMillis(message.getAcceptedAgeMillis()));
    }

    static ExecuteReply write(EntryReply reply) {
        return ExecuteReply.newBuilder()
                .setRequestNumber(reply.requestNumber())
                .setOutcome(OutcomeMessages.encode(reply.requestNumber(), reply.outcome()))
                .setSessionToken(reply.sessionToken())
                .setServedBy(reply.servedBy().map(BackendServerName::value).orElse(""))
                .setServedByReplica(reply.servedByReplica())
                .build();
    }

    private static Optional<Access> readAccess(org.geraniumproxy.protocol.Access access) {
        return switch (access) {
            case READ -> Optional.of(Access.READ);
            case WRITE -> Optional.of(Access.WRITE);
            case ACCESS_UNSPECIFIED, UNRECOGNIZED -> Optional.empty();
        };
    }
}
