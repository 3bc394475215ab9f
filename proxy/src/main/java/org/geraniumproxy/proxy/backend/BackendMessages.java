package org.geraniumproxy.proxy.backend;

import java.time.Duration;
import java.time.Instant;
import org.geraniumproxy.core.failover.BackendStatus;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.Term;
import org.geraniumproxy.core.identity.TermStart;
import org.geraniumproxy.core.pool.BackendCommand;
import org.geraniumproxy.protocol.Begin;
import org.geraniumproxy.protocol.CommitTransaction;
import org.geraniumproxy.protocol.ConnectionRequest;
import org.geraniumproxy.protocol.RollbackTransaction;
import org.geraniumproxy.protocol.StatusReply;

/** Encodes commands for backend servers and decodes their status reports. */
final class BackendMessages {
    private BackendMessages() {}

    static ConnectionRequest encodeRequest(
            long requestNumber, BackendCommand command, Term term, CustomerName customer) {
        ConnectionRequest.Builder builder = ConnectionRequest.newBuilder()
                .setRequestNumber(requestNumber)
                .setTerm(term.number())
                .setCustomer(customer.value());
        return switch (command) {
            case BackendCommand.Execute execute ->
                builder.setStatement(execute.statement())
                        .setWrite(execute.write())
                        .build();
            case BackendCommand.Begin _ ->
                builder.setBegin(Begin.getDefaultInstance()).build();
            case BackendCommand.Commit _ ->
                builder.setCommit(CommitTransaction.getDefaultInstance())
                        .setWrite(true)
                        .build();
            case BackendCommand.Rollback _ ->
                builder.setRollback(RollbackTransaction.getDefaultInstance()).build();
        };
    }

    static ConnectionRequest encodeConfirmation(long requestNumber) {
        return ConnectionRequest.newBuilder()
                .setRequestNumber(requestNumber)
                .setRollback(RollbackTransaction.getDefaultInstance())
                .build();
    }

    static BackendStatus decodeStatus(StatusReply reply, Instant requestSentAt) {
        return new BackendStatus(
                BackendServerName.of(reply.getBackendServer()),
                requestSentAt,
                Term.of(reply.getFencedTerm()),
                Term.of(reply.getReplicatingTerm()),
                Term.of(reply.getLastEntryTerm()),
                reply.getPosition(),
                reply.getPrimary(),
                Duration.ofMillis(reply.getPrimarySilenceMillis()),
                reply.getOpenConnections(),
                reply.getLeaving(),
                reply.getTermStartsList().stream()
                        .map(start -> new TermStart(Term.of(start.getTerm()), start.getStartPosition()))
                        .toList());
    }
}
