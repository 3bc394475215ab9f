package org.geraniumproxy.core.failover;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.geraniumproxy.core.identity.LogPosition;

/**
 * Exhaustive search of fencing, choice and acknowledgement. Two promoters own the terms alternately. Every message may
 * be delivered at any later time or never: a fence or a promotion of a term also after a higher term has begun. A write
 * counts as acknowledged as soon as the rule allows it, and reports never expire, which allows more than the program.
 *
 * <p>A state is an array of bytes. Per database: fenced term, replicating term, log. Per term: fences and logs that its
 * promoter has collected, chosen database, whether it was promoted, log of the term, its start, acknowledged position.
 */
final class FencingModel {
    private static final int DATABASES = 3;
    private static final int MAJORITY = 2;
    private static final int NONE = 0;

    private final int terms;
    private final int writes;
    private final Rules rules;
    private final int logBytes;
    private final int databaseBytes;
    private final int termBytes;

    /** The rules that the search applies. */
    enum Rules {
        DESIGN,
        CHOICE_BY_POSITION_ALONE,
        COUNT_FENCED_DATABASES
    }

    /** Number of states that were visited, and whether an acknowledged write was lost in one. */
    record Result(int states, boolean lost) {}

    FencingModel(int terms, int writes, Rules rules) {
        this.terms = terms;
        this.writes = writes;
        this.rules = rules;
        this.logBytes = 1 + writes;
        this.databaseBytes = 2 + logBytes;
        // collected: per database a flag, last entry term and length; then chosen, start, acknowledged, log
        this.termBytes = DATABASES * 3 + 3 + logBytes;
    }

    Result search() {
        Set<String> visited = new HashSet<>();
        Deque<byte[]> queue = new ArrayDeque<>();
        byte[] initial = new byte[DATABASES * databaseBytes + terms * termBytes];
        visited.add(key(initial));
        queue.add(initial);
        while (!queue.isEmpty()) {
            for (byte[] next : successors(queue.remove())) {
                if (isWriteLost(next)) {
                    return new Result(visited.size(), true);
                }
                if (visited.add(key(next))) {
                    queue.add(next);
                }
            }
        }
        return new Result(visited.size(), false);
    }

    private List<byte[]> successors(byte[] state) {
        List<byte[]> result = new ArrayList<>();
        for (int term = 1; term <= terms; term++) {
            choose(state, term, result);
            promote(state, term, result);
            write(state, term, result);
            for (int database = 0; database < DATABASES; database++) {
                fence(state, term, database, result);
                follow(state, term, database, result);
                replicate(state, term, database, result);
            }
        }
        return result;
    }

    private void fence(byte[] state, int term, int database, List<byte[]> result) {
        if (state[fenced(database)] >= term) {
            return;
        }
        byte[] next = state.clone();
        next[fenced(database)] = (byte) term;
        next[replicating(database)] = NONE;
        if (state[chosen(term)] == NONE) {
            int collected = collected(term, database);
            next[collected] = 1;
            next[collected + 1] = (byte) lastEntryTerm(state, log(database));
            next[collected + 2] = state[log(database)];
        }
        result.add(next);
    }

    private void choose(byte[] state, int term, List<byte[]> result) {
        List<BackendStatus> fenced = new ArrayList<>();
        for (int database = 0; database < DATABASES; database++) {
            int collected = collected(term, database);
            if (state[collected] == 1) {
                fenced.add(Databases.status(database, term, NONE, state[collected + 1], state[collected + 2]));
            }
        }
        if (state[chosen(term)] != NONE || fenced.size() < MAJORITY) {
            return;
        }
        BackendStatus best = rules == Rules.CHOICE_BY_POSITION_ALONE
                ? fenced.stream()
                        .max(Comparator.comparingLong(BackendStatus::position))
                        .orElseThrow()
                : LogChoice.choose(Databases.GROUP, fenced, Set.of());
        byte[] next = state.clone();
        next[chosen(term)] = (byte) (1 + Databases.NAMES.indexOf(best.backendServer()));
        // The collected reports no longer matter; clearing them merges states that behave alike.
        Arrays.fill(next, collected(term, 0), collected(term, DATABASES), (byte) 0);
        result.add(next);
    }

    private void promote(byte[] state, int term, List<byte[]> result) {
        int database = state[chosen(term)] - 1;
        if (database < 0 || isPromoted(state, term) || state[fenced(database)] != term) {
            return;
        }
        byte[] next = state.clone();
        next[replicating(database)] = (byte) term;
        next[start(term)] = (byte) (1 + state[log(database)]);
        System.arraycopy(state, log(database), next, termLog(term), logBytes);
        result.add(next);
    }

    private void write(byte[] state, int term, List<byte[]> result) {
        int database = state[chosen(term)] - 1;
        if (!isPromoted(state, term) || state[fenced(database)] != term || state[log(database)] == writes) {
            return;
        }
        byte[] next = state.clone();
        append(next, log(database), term);
        append(next, termLog(term), term);
        result.add(acknowledge(next, term));
    }

    /** The replica cuts its divergent tail before it reports for the term. */
    private void follow(byte[] state, int term, int database, List<byte[]> result) {
        if (!isPromoted(state, term)
                || state[chosen(term)] - 1 == database
                || state[fenced(database)] > term
                || state[replicating(database)] == term) {
            return;
        }
        byte[] next = state.clone();
        next[fenced(database)] = (byte) term;
        next[replicating(database)] = (byte) term;
        int common = 0;
        int limit = Math.min(state[log(database)], state[termLog(term)]);
        while (common < limit && state[log(database) + 1 + common] == state[termLog(term) + 1 + common]) {
            common++;
        }
        Arrays.fill(next, log(database) + 1 + common, log(database) + logBytes, (byte) 0);
        next[log(database)] = (byte) common;
        result.add(acknowledge(next, term));
    }

    /** Entries in flight arrive also after the primary has been fenced. */
    private void replicate(byte[] state, int term, int database, List<byte[]> result) {
        int length = state[log(database)];
        if (state[replicating(database)] != term || state[fenced(database)] != term || length >= state[termLog(term)]) {
            return;
        }
        byte[] next = state.clone();
        append(next, log(database), state[termLog(term) + 1 + length]);
        result.add(acknowledge(next, term));
    }

    private byte[] acknowledge(byte[] state, int term) {
        for (int position = state[termLog(term)]; position > state[acknowledged(term)]; position--) {
            if (state[termLog(term) + position] == term && replicas(state, term, position) + 1 >= MAJORITY) {
                state[acknowledged(term)] = (byte) position;
            }
        }
        return state;
    }

    private int replicas(byte[] state, int term, int position) {
        int count = 0;
        for (int database = 0; database < DATABASES; database++) {
            BackendStatus status = Databases.status(
                    database,
                    state[fenced(database)],
                    state[replicating(database)],
                    lastEntryTerm(state, log(database)),
                    state[log(database)]);
            boolean isCounted = rules == Rules.COUNT_FENCED_DATABASES
                    ? status.fencedTerm().number() == term && status.position() >= position
                    : WriteAcknowledgement.isReplicated(status, LogPosition.of(term, position));
            if (isCounted && database != state[chosen(term)] - 1) {
                count++;
            }
        }
        return count;
    }

    private boolean isWriteLost(byte[] state) {
        for (int term = 1; term <= terms; term++) {
            int position = state[acknowledged(term)];
            for (int later = term + 1; position > 0 && later <= terms; later++) {
                if (isPromoted(state, later)
                        && (state[start(later)] - 1 < position || state[termLog(later) + position] != term)) {
                    return true;
                }
            }
        }
        return false;
    }

    private boolean isPromoted(byte[] state, int term) {
        return state[start(term)] != NONE;
    }

    private static void append(byte[] state, int log, int term) {
        state[log]++;
        state[log + state[log]] = (byte) term;
    }

    private static int lastEntryTerm(byte[] state, int log) {
        return state[log] == 0 ? NONE : state[log + state[log]];
    }

    private static String key(byte[] state) {
        return new String(state, java.nio.charset.StandardCharsets.ISO_8859_1);
    }

    private int fenced(int database) {
        return database * databaseBytes;
    }

    private int replicating(int database) {
        return fenced(database) + 1;
    }

    private int log(int database) {
        return fenced(database) + 2;
    }

    private int collected(int term, int database) {
        return DATABASES * databaseBytes + (term - 1) * termBytes + database * 3;
    }

    private int chosen(int term) {
        return collected(term, DATABASES);
    }

    private int start(int term) {
        return chosen(term) + 1;
    }

    private int acknowledged(int term) {
        return chosen(term) + 2;
    }

    private int termLog(int term) {
        return chosen(term) + 3;
    }
}
