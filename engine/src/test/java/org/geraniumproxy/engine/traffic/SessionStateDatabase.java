package org.geraniumproxy.engine.traffic;

import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;

/**
 * Database that keeps the variables and prepared statements of each connection, and records those with which each
 * request ran. A rollback takes back the variables that the transaction has set, as some databases do.
 */
final class SessionStateDatabase implements AutoCloseable {
    /**
     * What a request ran with.
     *
     * @param variables variables of the connection
     * @param shape shape of the prepared statement, or empty for other statements
     */
    record Run(Map<String, String> variables, Optional<String> shape) {
        Run {
            variables = Map.copyOf(variables);
        }
    }

    private final Map<String, Run> runs = new ConcurrentHashMap<>();
    private final ScriptedDatabase database = new ScriptedDatabase(this::newConnection);

    SessionStateDatabase() throws IOException {}

    ScriptedDatabase database() {
        return database;
    }

    /** Returns what a request ran with, or empty if it didn't run. */
    Optional<Run> run(String request) {
        return Optional.ofNullable(runs.get(request));
    }

    @Override
    public void close() throws IOException {
        database.close();
    }

    private Function<String, Optional<String>> newConnection() {
        return new Connection()::respond;
    }

    /** State of a connection. */
    private final class Connection {
        private Map<String, String> variables = new HashMap<>();
        private Map<String, String> variablesAtBegin = Map.of();
        private final Map<String, String> prepared = new HashMap<>();
        private boolean inTransaction;

        Optional<String> respond(String line) {
            List<String> words = List.of(line.split(" ", -1));
            switch (words.getFirst()) {
                case "discard" -> {
                    variables.clear();
                    prepared.clear();
                }
                case "setvariable" -> variables.put(words.get(1), words.get(2));
                case "prepare" -> prepared.put(words.get(1), words.get(2));
                case "begin" -> {
                    inTransaction = true;
                    variablesAtBegin = Map.copyOf(variables);
                }
                case "commit" -> {
                    runs.put(words.get(1), new Run(variables, Optional.empty()));
                    inTransaction = false;
                    return Optional.of("ok");
                }
                case "rollback" -> {
                    variables = new HashMap<>(variablesAtBegin);
                    inTransaction = false;
                    return Optional.of("ok");
                }
                case "run" -> runs.put(words.get(1), new Run(variables, Optional.empty()));
                case "execute" -> {
                    String shape = prepared.get(words.get(2));
                    if (shape == null) {
                        return Optional.of(inTransaction ? "failed UNKNOWN_STATEMENT" : "UNKNOWN_STATEMENT");
                    }
                    runs.put(words.get(1), new Run(variables, Optional.of(shape)));
                }
                default -> {
                    return Optional.of("ok");
                }
            }
            return Optional.of(inTransaction ? "open" : "ok");
        }
    }
}
