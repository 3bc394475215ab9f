package org.geraniumproxy.proxy.traffic;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.geraniumproxy.core.control.InvariantViolation;
import org.geraniumproxy.core.outcome.NotRunReason;
import org.geraniumproxy.core.outcome.Outcome;
import org.geraniumproxy.core.pool.BackendCommand;
import org.geraniumproxy.core.pool.BackendReply;
import org.geraniumproxy.core.routing.Access;
import org.geraniumproxy.core.routing.GroupRequest;
import org.geraniumproxy.core.routing.GroupResult;
import org.geraniumproxy.core.session.SessionRequirement;
import org.geraniumproxy.proxy.telemetry.Hop;
import org.geraniumproxy.proxy.telemetry.InFlightRequests;
import org.jboss.logging.Logger;

/** A transaction on a pinned connection of this VM. */
final class CoordinatorTransaction implements GroupTransaction {
    private static final Logger log = Logger.getLogger(CoordinatorTransaction.class);

    private final TrafficContext context;
    private final BackendCall backendCall;
    private final Acknowledgement acknowledgement;
    private final PinnedConnection pinned;
    private final GroupRequest request;
    private final Placed.At at;
    private final InFlightRequests.Ticket ticket;
    private final AtomicBoolean stepRunning = new AtomicBoolean();
    private final CompletableFuture<Void> deadline;
    private volatile boolean commitSent;
    private volatile SessionRequirement sessionAfter;

    CoordinatorTransaction(
            TrafficContext context,
            BackendCall backendCall,
            Acknowledgement acknowledgement,
            PinnedConnection pinned,
            GroupRequest request,
            Placed.At at,
            InFlightRequests.Ticket ticket) {
        this.context = context;
        this.backendCall = backendCall;
        this.acknowledgement = acknowledgement;
        this.pinned = pinned;
        this.request = request;
        this.at = at;
        this.ticket = ticket;
        this.sessionAfter = request.session();
        this.deadline = context.delay().after(context.timeUntil(request.deadline()));
    }

    /** Rolls the transaction back at its deadline or at the end of the drain. */
    void endAtDeadlineOrStop() {
        var unused = CompletableFuture.anyOf(deadline, ticket.ended()).thenRunAsync(this::close, context.executor());
    }

    @Override
    public CompletableFuture<GroupResult> step(TransactionStep step) {
        if (!stepRunning.compareAndSet(false, true)) {
            throw new IllegalStateException("another step of the transaction is running");
        }
        CompletableFuture<GroupResult> result = CompletableFuture.supplyAsync(() -> run(step), context.executor())
                .whenComplete((_, _) -> stepRunning.set(false));
        return ticket.orWhenEnded(result, this::endStep);
    }

    /** Closes the connection first, so that no commit is sent after the transaction is reported as rolled back. */
    private GroupResult endStep() {
        close();
        return result(
                commitSent
                        ? Outcome.unknown("the coordinator was stopped after the commit was sent")
                        : rolledBack("the coordinator is being stopped"));
    }

    @Override
    public void close() {
        pinned.discard();
        deadline.cancel(false);
    }

    private GroupResult run(TransactionStep step) {
        if (!pinned.enterStep()) {
            return result(rolledBack("it has ended"));
        }
        try {
            return result(runChecked(step));
        } catch (RuntimeException e) {
            log.errorf(e, "backend: a transaction on %s failed", at.server());
            close();
            return result(
                    commitSent
                            ? Outcome.unknown("the coordinator failed after the commit was sent")
                            : rolledBack("the coordinator failed"));
        } finally {
            pinned.leaveStep();
        }
    }

    private GroupResult result(Outcome outcome) {
        return new GroupResult(outcome, sessionAfter, Optional.of(at.server()), false);
    }

    private Outcome runChecked(TransactionStep step) {
        if (!context.snapshot().isViewCurrent(context.now())) {
            close();
            return Outcome.notRun(
                    NotRunReason.VIEW_TOO_OLD,
                    "the transaction is rolled back, because the coordinator can't prove that its view is current");
        }
        if (!pinned.resumeSlot(request.deadline())) {
            close();
            return Outcome.notRun(
                    NotRunReason.DEADLINE_UNREACHABLE, "the transaction is rolled back, because no slot became free");
        }
        return switch (step) {
            case TransactionStep.Statement statement -> statement(statement);
            case TransactionStep.Commit _ -> commit();
            case TransactionStep.Rollback _ -> rollback();
        };
    }

    private Outcome statement(TransactionStep.Statement step) {
        BackendCommand command = new BackendCommand.Execute(step.statement(), request.access() == Access.WRITE);
        return switch (execute(command)) {
            case BackendReply.Completed completed
            when completed.transactionOpen() -> Outcome.answered(completed.rows());
            case BackendReply.Completed _ -> {
                close();
                throw new InvariantViolation("a statement ended its transaction on " + at.server());
            }
            case BackendReply.Refused refused -> refused(refused);
            case BackendReply.NotSent _, BackendReply.Broken _ -> {
                close();
                yield rolledBack("its connection failed");
            }
        };
    }

    private Outcome refused(BackendReply.Refused refused) {
        if (!refused.transactionOpen()) {
            end();
        }
        return Outcome.notRun(NotRunReason.BACKEND_REFUSED, refused.reason());
    }

    private Outcome commit() {
        commitSent = true;
        return switch (execute(new BackendCommand.Commit())) {
            case BackendReply.Completed completed -> {
                end();
                yield context.tracing().inSpan(Hop.REPLY, () -> acknowledge(completed));
            }
            case BackendReply.Refused refused -> {
                close();
                yield Outcome.notRun(NotRunReason.BACKEND_REFUSED, refused.reason());
            }
            case BackendReply.NotSent _ -> {
                close();
                yield rolledBack("its connection had failed before the commit");
            }
            case BackendReply.Broken broken -> {
                close();
                yield Outcome.unknown("the commit was sent, but its answer did not arrive: " + broken.detail());
            }
        };
    }

    private Outcome acknowledge(BackendReply.Completed completed) {
        if (request.access() == Access.READ) {
            sessionAfter = new SessionRequirement(request.session().lastWrite(), completed.position());
            return Outcome.answered(completed.rows());
        }
        GroupResult acknowledged = acknowledgement.afterWrite(request, at, completed);
        sessionAfter = acknowledged.session();
        return acknowledged.outcome();
    }

    private Outcome rollback() {
        BackendReply reply = execute(new BackendCommand.Rollback());
        if (reply instanceof BackendReply.Completed) {
            end();
        } else {
            close();
        }
        // Closing the connection rolls back as well.
        return Outcome.answered(List.of());
    }

    private BackendReply execute(BackendCommand command) {
        return backendCall.execute(pinned.connection(), command, request, at);
    }

    private void end() {
        pinned.giveBack();
        deadline.cancel(false);
    }

    /** Without a commit nothing of a transaction takes effect, so that its steps have truly not run. */
    private static Outcome rolledBack(String detail) {
        return Outcome.notRun(NotRunReason.UNREACHABLE, "the transaction is rolled back, because " + detail);
    }
}
