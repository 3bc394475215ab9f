package org.geraniumproxy.standin.database;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.geraniumproxy.core.control.InvariantViolation;
import org.geraniumproxy.core.identity.LogPosition;
import org.geraniumproxy.core.identity.Term;
import org.geraniumproxy.core.identity.TermStart;

/** Terms, role and log of one database. Confined to one thread; time is an argument. */
final class Database {
    /**
     * A statement that ran.
     *
     * @param rows its rows
     * @param position term and position of the log after it
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

    Duration timeSincePrimaryContact(Instant now) {
        return primary ? Duration.ZERO : Duration.between(lastPrimaryContact, now);
    }

    /** Raises the lowest accepted term. Returns false if the database has been fenced at a higher one. */
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

    /** Makes the database the primary of a term; returns an empty text, or why it refuses. */
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

    /** Accepts or refuses to replicate from the primary of a term. */
    boolean follow(Term term) {
        if (term.equals(Term.NONE) || !fence(term)) {
            return false;
        }
        return !primary;
    }

    /** Begins to replicate: cuts the divergent tail first and reports the new replicating term only then. */
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

    /** Tells whether the database serves statements of a term. */
    boolean servesTerm(Term term) {
        return !term.equals(Term.NONE) && term.equals(replicatingTerm);
    }

    /**
     * Runs a statement outside a transaction.
     *
     * @throws StatementException if it can't run; it then has had no effect
     */
    StatementResult run(Statement statement, String text, boolean write) {
        Transaction transaction = new Transaction(replicatingTerm);
        List<String> rows = runInTransaction(transaction, statement, text, write);
        return new StatementResult(rows, commit(transaction));
    }

    /**
     * Runs a statement in a transaction.
     *
     * @throws StatementException if it can't run; it then has had no effect
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
     * Commits the writes of a transaction all together; sums are formed again from the committed values.
     *
     * @throws StatementException if a write can't run; the transaction then has had no effect
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
