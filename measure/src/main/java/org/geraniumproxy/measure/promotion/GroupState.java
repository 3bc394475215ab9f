package org.geraniumproxy.measure.promotion;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.UnaryOperator;
import org.geraniumproxy.core.identity.LogPosition;

/**
 * Databases of a group with one synchronous replica, without sockets and timers.
 *
 * @param databases state of each database by its identifier
 */
record GroupState(Map<String, DatabaseState> databases) {
    GroupState {
        databases = Map.copyOf(databases);
    }

    DatabaseState find(String id) {
        return databases.get(id);
    }

    boolean leads(String id) {
        DatabaseState state = databases.get(id);
        return state != null && state.running() && state.primary();
    }

    Optional<String> primary() {
        return databases.keySet().stream().filter(this::leads).findFirst();
    }

    long newestTerm() {
        return databases.values().stream().mapToLong(DatabaseState::term).max().orElse(0);
    }

    /** Returns whether a database leads its term still and a running replica holds the position. */
    boolean isConfirmed(String id, LogPosition position) {
        return leads(id)
                && find(id).term() == position.term().number()
                && databases.entrySet().stream()
                        .filter(other -> !other.getKey().equals(id))
                        .map(Map.Entry::getValue)
                        .anyMatch(other -> other.running() && other.log().contains(position));
    }

    /** Lets a replica receive the log that the primary of a term had, unless that has crashed or ended before. */
    GroupState receive(String id, String from, long term, CommitLog log) {
        DatabaseState source = databases.get(from);
        if (source == null || !source.running()) {
            return this;
        }
        DatabaseState state = databases.get(id);
        boolean receives =
                state != null && state.running() && !state.primary() && state.heldTerm() == 0 && state.term() == term;
        return receives && state.log().last().compareTo(log.last()) < 0 ? change(id, s -> s.withLog(log)) : this;
    }

    /** Carries out a command. STATUS changes nothing. */
    GroupState control(String id, List<String> command) {
        long term = command.size() > 1 ? Long.parseLong(command.get(1)) : 0;
        return switch (command.getFirst()) {
            case "PAUSE" ->
                change(id, s -> s.primary() || term <= newestTerm() ? s : s.holding(Math.max(term, s.heldTerm())));
            case "UNPAUSE" -> change(id, s -> s.holding(0));
            case "STEPDOWN" -> change(id, s -> s.primary() && s.term() < term ? s.inRole(false, s.term()) : s);
            default -> this;
        };
    }

    /** Lets a database lead the next term with its log. All others receive, and what it lacks is rolled back. */
    GroupState promote(String id) {
        long term = newestTerm() + 1;
        CommitLog log = find(id).log();
        Map<String, DatabaseState> next = new HashMap<>(databases);
        next.replaceAll((other, state) -> other.equals(id)
                ? state.inRole(true, term)
                : state.running()
                        ? state.inRole(false, term).withLog(state.log().commonPrefix(log))
                        : state);
        return new GroupState(next);
    }

    /** Starts a crashed database with its log, as a replica if another one was promoted. */
    GroupState start(String id, long born) {
        Optional<DatabaseState> leader = primary().map(this::find);
        return change(id, state -> {
            DatabaseState started = state.started(born);
            return leader.filter(l -> l.term() > state.term())
                    .map(l ->
                            started.inRole(false, l.term()).withLog(state.log().commonPrefix(l.log())))
                    .orElse(started);
        });
    }

    GroupState put(String id, DatabaseState state) {
        Map<String, DatabaseState> next = new HashMap<>(databases);
        next.put(id, state);
        return new GroupState(next);
    }

    GroupState remove(String id) {
        Map<String, DatabaseState> next = new HashMap<>(databases);
        next.remove(id);
        return new GroupState(next);
    }

    GroupState change(String id, UnaryOperator<DatabaseState> change) {
        return databases.containsKey(id) ? put(id, change.apply(find(id))) : this;
    }
}
