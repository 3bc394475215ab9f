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
 * Exhaustive search of the states reachable by fencing, selection and acknowledgement. Two promoters use the terms
 * alternately. Every message may be delivered at any later time or never; a fence or promotion may even arrive after a
 * higher term has begun. A write counts as acknowledged as soon as the rule allows it, and reports never expire. The
 * model thus allows more runs than the production code.
 *
 * <p>A state is a byte array. Per database: fenced term, replicating term, log. Per term: fenced databases and their
 * logs as collected by the promoter, selected database, start position plus one (zero before the promotion),
 * acknowledged position, log of the term.
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

    /** Rules applied by the search: those of the production code, or a variant with one known fault. */
    enum Rules {
        DESIGN,
        CHOICE_BY_POSITION_ALONE,
        COUNT_FENCED_DATABASES
    }

    /** Number of visited states, and whether an acknowledged write was lost in one of them. */
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
            selectCandidate(state, term, result);
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
        if (state[fencedOffset(database)] >= term) {
            return;
        }
        byte[] next = state.clone();
        next[fencedOffset(database)] = (byte) term;
        next[replicatingOffset(database)] = NONE;
        if (state[chosenOffset(term)] == NONE) {
            int collected = collectedOffset(term, database);
            next[collected] = 1;
            next[collected + 1] = (byte) lastEntryTerm(state, logOffset(database));
            next[collected + 2] = state[logOffset(database)];
        }
        result.add(next);
    }

    private void selectCandidate(byte[] state, int term, List<byte[]> result) {
        List<BackendStatus> fenced = new ArrayList<>();
        for (int database = 0; database < DATABASES; database++) {
            int collected = collectedOffset(term, database);
            if (state[collected] == 1) {
                fenced.add(DatabaseFixtures.status(database, term, NONE, state[collected + 1], state[collected + 2]));
            }
        }
        if (state[chosenOffset(term)] != NONE || fenced.size() < MAJORITY) {
            return;
        }
        BackendStatus candidate = rules == Rules.CHOICE_BY_POSITION_ALONE
                ? fenced.stream()
                        .max(Comparator.comparingLong(BackendStatus::position))
                        .orElseThrow()
                : PrimarySelection.select(DatabaseFixtures.GROUP, fenced, Set.of());
        byte[] next = state.clone();
        next[chosenOffset(term)] = (byte) (1 + DatabaseFixtures.NAMES.indexOf(candidate.backendServer()));
        // The collected reports are no longer needed. Clearing them merges equivalent states.
        Arrays.fill(next, collectedOffset(term, 0), collectedOffset(term, DATABASES), (byte) 0);
        result.add(next);
    }

    private void promote(byte[] state, int term, List<byte[]> result) {
        int database = state[chosenOffset(term)] - 1;
        if (database < 0 || isPromoted(state, term) || state[fencedOffset(database)] != term) {
            return;
        }
        byte[] next = state.clone();
        next[replicatingOffset(database)] = (byte) term;
        next[startOffset(term)] = (byte) (1 + state[logOffset(database)]);
        System.arraycopy(state, logOffset(database), next, termLogOffset(term), logBytes);
        result.add(next);
    }

    private void write(byte[] state, int term, List<byte[]> result) {
        int database = state[chosenOffset(term)] - 1;
        if (!isPromoted(state, term) || state[fencedOffset(database)] != term || state[logOffset(database)] == writes) {
            return;
        }
        byte[] next = state.clone();
        append(next, logOffset(database), term);
        append(next, termLogOffset(term), term);
        result.add(acknowledge(next, term));
    }

    /** Truncates the divergent log tail of a replica before it reports for the term. */
    private void follow(byte[] state, int term, int database, List<byte[]> result) {
        if (!isPromoted(state, term)
                || state[chosenOffset(term)] - 1 == database
                || state[fencedOffset(database)] > term
                || state[replicatingOffset(database)] == term) {
            return;
        }
        byte[] next = state.clone();
        next[fencedOffset(database)] = (byte) term;
        next[replicatingOffset(database)] = (byte) term;
        int common = 0;
        int limit = Math.min(state[logOffset(database)], state[termLogOffset(term)]);
        while (common < limit && state[logOffset(database) + 1 + common] == state[termLogOffset(term) + 1 + common]) {
            common++;
        }
        Arrays.fill(next, logOffset(database) + 1 + common, logOffset(database) + logBytes, (byte) 0);
        next[logOffset(database)] = (byte) common;
        result.add(acknowledge(next, term));
    }

    /** Delivers an entry to a replica, even after the primary has been fenced. */
    private void replicate(byte[] state, int term, int database, List<byte[]> result) {
        int length = state[logOffset(database)];
        if (state[replicatingOffset(database)] != term
                || state[fencedOffset(database)] != term
                || length >= state[termLogOffset(term)]) {
            return;
        }
        byte[] next = state.clone();
        append(next, logOffset(database), state[termLogOffset(term) + 1 + length]);
        result.add(acknowledge(next, term));
    }

    private byte[] acknowledge(byte[] state, int term) {
        for (int position = state[termLogOffset(term)]; position > state[acknowledgedOffset(term)]; position--) {
            if (state[termLogOffset(term) + position] == term && replicas(state, term, position) + 1 >= MAJORITY) {
                state[acknowledgedOffset(term)] = (byte) position;
            }
        }
        return state;
    }

    private int replicas(byte[] state, int term, int position) {
        int count = 0;
        for (int database = 0; database < DATABASES; database++) {
            BackendStatus status = DatabaseFixtures.status(
                    database,
                    state[fencedOffset(database)],
                    state[replicatingOffset(database)],
                    lastEntryTerm(state, logOffset(database)),
                    state[logOffset(database)]);
            boolean isCounted = rules == Rules.COUNT_FENCED_DATABASES
                    ? status.fencedTerm().number() == term && status.position() >= position
                    : WriteAcknowledgement.isReplicated(status, LogPosition.of(term, position));
            if (isCounted && database != state[chosenOffset(term)] - 1) {
                count++;
            }
        }
        return count;
    }

    private boolean isWriteLost(byte[] state) {
        for (int term = 1; term <= terms; term++) {
            int position = state[acknowledgedOffset(term)];
            for (int later = term + 1; position > 0 && later <= terms; later++) {
                if (isPromoted(state, later)
                        && (state[startOffset(later)] - 1 < position
                                || state[termLogOffset(later) + position] != term)) {
                    return true;
                }
            }
        }
        return false;
    }

    private boolean isPromoted(byte[] state, int term) {
        return state[startOffset(term)] != NONE;
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

    private int fencedOffset(int database) {
        return database * databaseBytes;
    }

    private int replicatingOffset(int database) {
        return fencedOffset(database) + 1;
    }

    private int logOffset(int database) {
        return fencedOffset(database) + 2;
    }

    private int collectedOffset(int term, int database) {
        return DATABASES * databaseBytes + (term - 1) * termBytes + database * 3;
    }

    private int chosenOffset(int term) {
        return collectedOffset(term, DATABASES);
    }

    private int startOffset(int term) {
        return chosenOffset(term) + 1;
    }

    private int acknowledgedOffset(int term) {
        return chosenOffset(term) + 2;
    }

    private int termLogOffset(int term) {
        return chosenOffset(term) + 3;
    }
}
