package org.geraniumproxy.proxy.traffic;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.geraniumproxy.core.admission.Admission;
import org.geraniumproxy.core.admission.AdmissionDecision;
import org.geraniumproxy.core.admission.CallerRequest;
import org.geraniumproxy.core.control.ControlSnapshot;
import org.geraniumproxy.core.outcome.NotRunReason;
import org.geraniumproxy.core.outcome.Outcome;
import org.geraniumproxy.core.routing.GroupResult;
import org.geraniumproxy.proxy.telemetry.Hop;
import org.geraniumproxy.proxy.telemetry.InFlightRequests;
import org.jboss.logging.Logger;

/**
 * A caller's open transaction. It ends when its key is withdrawn or moves to another customer, the view of the keys is
 * too old, its deadline has passed, or the drain of the node is over, also while the caller is silent.
 */
public final class EntryTransaction implements AutoCloseable {
    /** Time between two looks at the configuration. A withdrawn key must stop working within 5 s. */
    static final Duration REVOCATION_CHECK_INTERVAL = Duration.ofMillis(250);

    private static final Logger log = Logger.getLogger(EntryTransaction.class);

    private final TrafficContext context;
    private final EntryHandler entry;
    private final CallerRequest request;
    private final Admission.Admitted admitted;
    private final GroupTransaction transaction;
    private final InFlightRequests.Ticket ticket;
    private final AtomicBoolean ended = new AtomicBoolean();
    private final CompletableFuture<Outcome.NotRun> revoked = new CompletableFuture<>();
    private volatile boolean commitRunning;

    private EntryTransaction(
            TrafficContext context,
            EntryHandler entry,
            CallerRequest request,
            Admission.Admitted admitted,
            GroupTransaction transaction,
            InFlightRequests.Ticket ticket) {
        this.context = context;
        this.entry = entry;
        this.request = request;
        this.admitted = admitted;
        this.transaction = transaction;
        this.ticket = ticket;
    }

    static EntryTransaction open(
            TrafficContext context,
            EntryHandler entry,
            CallerRequest request,
            Admission.Admitted admitted,
            GroupTransaction transaction,
            InFlightRequests.Ticket ticket) {
        EntryTransaction opened = new EntryTransaction(context, entry, request, admitted, transaction, ticket);
        opened.checkLater();
        opened.endWithDrain();
        return opened;
    }

    /**
     * Takes the next step. The method blocks, so call it on a virtual thread, and not before the last step has ended.
     *
     * @param step the step
     * @return the reply
     */
    public EntryReply step(TransactionStep step) {
        Instant startedAt = context.now();
        EntryReply reply = context.tracing().inSpan(Hop.CALLER_ENTRY, () -> run(step));
        context.metrics().ended(reply.outcome(), Duration.between(startedAt, context.now()));
        return reply;
    }

    /**
     * Tells when the transaction was ended because the caller may no longer use it, or because its deadline has passed.
     *
     * @return completes with the reason
     */
    public CompletableFuture<Outcome.NotRun> revoked() {
        return revoked.copy();
    }

    /** Rolls the transaction back if it has not ended. */
    @Override
    public void close() {
        if (ended.compareAndSet(false, true)) {
            transaction.close();
            ticket.close();
        }
    }

    private EntryReply run(TransactionStep step) {
        Optional<Outcome.NotRun> refusal = refusalOf(step);
        if (refusal.isPresent()) {
            return reply(
                    step, GroupResult.unserved(refusal.get(), admitted.request().session()));
        }
        commitRunning = step instanceof TransactionStep.Commit;
        GroupResult result = transaction.step(step).join();
        if (!(step instanceof TransactionStep.Statement)) {
            close();
        }
        return reply(step, result);
    }

    private Optional<Outcome.NotRun> refusalOf(TransactionStep step) {
        Optional<Outcome.NotRun> revocation = revokeIfDue();
        if (revocation.isPresent()) {
            return revocation;
        }
        if (!(step instanceof TransactionStep.Statement statement)) {
            return Optional.empty();
        }
        if (AdmissionDecision.isStatementTooLarge(statement.statement())) {
            return Optional.of(
                    new Outcome.NotRun(NotRunReason.STATEMENT_TOO_LARGE, "the statement is too large", Duration.ZERO));
        }
        // The key may be withdrawn or move while the statement waits for its token.
        return entry.takeToken(admitted.token().customer(), admitted.request().deadline(), ticket)
                .or(this::revokeIfDue);
    }

    private Optional<Outcome.NotRun> revokeIfDue() {
        Optional<Outcome.NotRun> revocation = findRevocation();
        revocation.ifPresent(this::revoke);
        return revocation;
    }

    private void endWithDrain() {
        Outcome.NotRun reason = new Outcome.NotRun(
                NotRunReason.DRAINING, "the proxy is being stopped; the transaction is rolled back", Duration.ZERO);
        var unused = ticket.ended().thenRunAsync(() -> revoke(reason), context.executor());
    }

    private void checkLater() {
        var unused = context.delay()
                .after(REVOCATION_CHECK_INTERVAL)
                .thenRunAsync(this::checkRevocation, context.executor());
    }

    private void checkRevocation() {
        if (ended.get() || commitRunning) {
            // A commit that was admitted keeps its own outcome; the transaction ends with it.
            return;
        }
        findRevocation().ifPresentOrElse(this::revoke, this::checkLater);
    }

    private void revoke(Outcome.NotRun reason) {
        close();
        revoked.complete(reason);
    }

    /** Admits the beginning of the transaction once more, under the present configuration. */
    private Optional<Outcome.NotRun> findRevocation() {
        if (!context.now().isBefore(admitted.request().deadline())) {
            return Optional.of(new Outcome.NotRun(
                    NotRunReason.DEADLINE_UNREACHABLE,
                    "the deadline of the transaction has passed; it is rolled back",
                    Duration.ZERO));
        }
        ControlSnapshot snapshot = context.snapshot();
        return switch (AdmissionDecision.decide(snapshot, request, context.now())) {
            case Admission.Refused refused -> Optional.of(withdrawal(refused.outcome()));
            case Admission.Admitted latest when latest.isForCustomerOf(admitted) -> Optional.empty();
            case Admission.Admitted latest -> Optional.of(keyMove(latest, snapshot));
        };
    }

    private static Outcome.NotRun withdrawal(Outcome.NotRun refusal) {
        return refusal.reason() == NotRunReason.UNKNOWN_KEY
                ? new Outcome.NotRun(
                        NotRunReason.KEY_WITHDRAWN,
                        "the key was withdrawn; the transaction is rolled back",
                        Duration.ZERO)
                : refusal;
    }

    private Outcome.NotRun keyMove(Admission.Admitted latest, ControlSnapshot snapshot) {
        log.infof(
                "caller: the transaction of request %d is rolled back; its key moved from customer %s to %s in revision %d",
                request.requestNumber(),
                admitted.token().customer(),
                latest.token().customer(),
                snapshot.configuration().revision());
        return new Outcome.NotRun(
                NotRunReason.FOREIGN_TOKEN,
                "the key moved to another customer; the transaction is rolled back",
                Duration.ZERO);
    }

    private EntryReply reply(TransactionStep step, GroupResult result) {
        return EntryReply.of(
                step.requestNumber(), admitted.token(), admitted.request().group(), result);
    }
}
