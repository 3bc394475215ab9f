package org.geraniumproxy.standin.database;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.geraniumproxy.core.control.InvariantViolation;
import org.geraniumproxy.core.identity.LogPosition;
import org.geraniumproxy.core.identity.Term;
import org.geraniumproxy.core.identity.TermStart;

/** State machine of one database: its terms, role and log. Not thread-safe; callers pass in the time. */
final class Database {
    /**
     * Result of a statement.
     *
     * @param rows the returned rows
     * @param position term and log position after the statement
     */
    record StatementResult(List<String> rows, LogPosition position) {}

    private final DatabaseLog log = new DatabaseLog();
    private List<TermStart> termStarts = List.of();
    private Term fencedTerm = Term.NONE;
    private Term replicatingTerm = Term.NONE;
    private boolean primary;
    private Instant lastPrimaryContact;

    Database(Instant startedAt) {
        this.lastPrimaryContact = startedAt;
    }

    DatabaseLog log() {
        return log;
    }

    Term fencedTerm() {
        return fencedTerm;
    }

    Term replicatingTerm() {
        return replicatingTerm;
    }

    boolean isPrimary() {
        return primary;
    }

    List<TermStart> termStarts() {
        return termStarts;
    }

    /** Returns the time since the last message from the primary, zero on the primary itself. */
    Duration timeSincePrimaryContact(Instant now) {
        return primary ? Duration.ZERO : Duration.between(lastPrimaryContact, now);
    }

    /**
     * Rejects all lower terms from now on. A higher term than before also ends the role as primary or replica. Returns
     * false if the database is already fenced at a higher term.
     */
    boolean fence(Term term) {
        if (fencedTerm.isAfter(term)) {
            return false;
        }
        if (term.isAfter(fencedTerm)) {
            fencedTerm = term;
            replicatingTerm = Term.NONE;
            primary = false;
        }
        return true;
    }

    /** Makes the database the primary of a term. Returns the reason for a refusal, empty on success. */
    String promote(Term term) {
        if (term.equals(Term.NONE)) {
            return "a term is needed";
        }
        if (!fence(term)) {
            return "fenced at term " + fencedTerm.number();
        }
        if (primary) {
            return "";
        }
        if (!replicatingTerm.equals(Term.NONE)) {
            return "already replicates from the primary of term " + term.number();
        }
        List<TermStart> starts = new ArrayList<>(termStarts);
        starts.removeIf(start -> start.position() > log.position());
        starts.add(new TermStart(term, log.position()));
        termStarts = List.copyOf(starts);
        primary = true;
        replicatingTerm = term;
        return "";
    }

    /** Fences at a term and returns whether the database may replicate from the primary of that term. */
    boolean follow(Term term) {
        if (term.equals(Term.NONE) || !fence(term)) {
            return false;
        }
        return !primary;
    }

    /**
     * Starts replication. Truncates the divergent tail of the log before it sets the replicating term, so that a status
     * with the new term never includes entries that the primary lacks.
     */
    void beginReplication(Term term, long truncateAfter, List<TermStart> primaryStarts, Instant now) {
        InvariantViolation.check(!primary, "a primary never replicates");
        InvariantViolation.check(term.equals(fencedTerm), "a replica follows only the term that it is fenced at");
        log.truncateAfter(truncateAfter);
        termStarts = List.copyOf(primaryStarts);
        replicatingTerm = term;
        lastPrimaryContact = now;
    }

    void recordPrimaryContact(Instant now) {
        lastPrimaryContact = now;
    }

    void replicate(List<DatabaseLog.Entry> entries) {
        InvariantViolation.check(
                !primary && replicatingTerm.equals(fencedTerm), "entries are applied only while replicating");
        entries.forEach(log::append);
    }

    /** Returns whether the database accepts statements of a term, as the primary or as a replica. */
    boolean servesTerm(Term term) {
        return !term.equals(Term.NONE) && term.equals(replicatingTerm);
    }

    /**
     * Runs a statement in a transaction of its own.
     *
     * @throws StatementException if the statement is malformed or not allowed; it then has no effect
     */
    StatementResult run(Statement statement, String text, boolean write) {
        Transaction transaction = new Transaction(replicatingTerm);
        List<String> rows = runInTransaction(transaction, statement, text, write);
        return new StatementResult(rows, commit(transaction));
    }

    /**
     * Runs a statement in an open transaction. Its writes are kept in the transaction until the commit.
     *
     * @throws StatementException if the statement is malformed or not allowed; it then has no effect
     */
    List<String> runInTransaction(Transaction transaction, Statement statement, String text, boolean write) {
        if (statement.isWrite() && !write) {
            throw new StatementException("write statement in a read request");
        }
        if (statement.isWrite() && !primary) {
            throw new StatementException("replica accepts no writes");
        }
        return switch (statement) {
            case Statement.Put put -> {
                transaction.add(new Transaction.PendingWrite(put, text), put.key(), put.value());
                yield List.of(put.value());
            }
            case Statement.Add add -> {
                String sum = sum(transaction, add);
                transaction.add(new Transaction.PendingWrite(add, text), add.key(), sum);
                yield List.of(sum);
            }
            case Statement.Get get -> transaction.value(log, get.key()).stream().toList();
            case Statement.Count count -> List.of(Long.toString(transaction.count(log, count.prefix())));
        };
    }

    /**
     * Commits all writes of a transaction atomically. Runs them again on the committed values, because other
     * transactions may have changed those since.
     *
     * @throws StatementException if a write is no longer possible; the transaction then has no effect
     */
    LogPosition commit(Transaction transaction) {
        InvariantViolation.check(
                transaction.term().equals(replicatingTerm), "a transaction commits only in its own term");
        Transaction replay = new Transaction(replicatingTerm);
        List<DatabaseLog.Entry> entries = new ArrayList<>();
        for (Transaction.PendingWrite write : transaction.writes()) {
            String key = keyOf(write.statement());
            String value = runInTransaction(replay, write.statement(), write.text(), true)
                    .getFirst();
            long position = log.position() + entries.size() + 1;
            entries.add(new DatabaseLog.Entry(replicatingTerm, position, key, value, write.text()));
        }
        entries.forEach(log::append);
        return position();
    }

    LogPosition position() {
        return new LogPosition(replicatingTerm, log.position());
    }

    private String sum(Transaction transaction, Statement.Add add) {
        long base = Statement.parseNumber(transaction.value(log, add.key()).orElse("0"));
        return Long.toString(base + add.number());
    }

    private static String keyOf(Statement statement) {
        return switch (statement) {
            case Statement.Put put -> put.key();
            case Statement.Add add -> add.key();
            case Statement.Get get -> get.key();
            case Statement.Count count -> count.prefix();
        };
    }
}
