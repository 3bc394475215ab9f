package org.geraniumproxy.measure.promotion;

/**
 * State of a database of a group.
 *
 * @param log commits that it holds
 * @param term newest term that it knows of
 * @param primary whether it leads
 * @param heldTerm term of the command that stopped it from receiving, 0 if it receives
 * @param draining whether it reports that it leaves
 * @param running false after a crash
 * @param born time of its start in milliseconds
 */
record DatabaseState(
        CommitLog log, long term, boolean primary, long heldTerm, boolean draining, boolean running, long born) {
    DatabaseState withLog(CommitLog newLog) {
        return new DatabaseState(newLog, term, primary, heldTerm, draining, running, born);
    }

    DatabaseState inRole(boolean leads, long newTerm) {
        return new DatabaseState(log, newTerm, leads, 0, draining, running, born);
    }

    DatabaseState holding(long newHeldTerm) {
        return new DatabaseState(log, term, primary, newHeldTerm, draining, running, born);
    }

    DatabaseState leaving() {
        return new DatabaseState(log, term, primary, heldTerm, true, running, born);
    }

    DatabaseState crashed() {
        return new DatabaseState(log, term, primary, heldTerm, draining, false, born);
    }

    /** Returns the database after a new start with its log. */
    DatabaseState started(long newBorn) {
        return new DatabaseState(log, term, primary, 0, draining, true, newBorn);
    }
}
