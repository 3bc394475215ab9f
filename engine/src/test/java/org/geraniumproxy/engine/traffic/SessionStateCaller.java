package org.geraniumproxy.engine.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;

/** Session that remembers what was acknowledged to its caller, and compares it with what each statement ran with. */
final class SessionStateCaller implements AutoCloseable {
    private static final AtomicLong LAST_REQUEST = new AtomicLong();
    private static final int PAIRS = 40;
    private static final int NAMES = 3;
    private static final int SHAPES = 70;

    private final EngineFixture.TestCaller caller;
    private final SessionStateDatabase database;
    private final Map<String, String> variables = new HashMap<>();
    private final Map<String, String> prepared = new HashMap<>();
    private boolean inTransaction;

    SessionStateCaller(EngineFixture fixture, SessionStateDatabase database) throws IOException {
        this.database = database;
        caller = fixture.newCaller().connect();
        assertThat(caller.readLine(), is("accepted"));
    }

    /** Lets pairs of sessions follow each other, and the two of a pair take turns. */
    static void takeTurns(EngineFixture fixture, SessionStateDatabase database, SplittableRandom random)
            throws IOException {
        for (int number = 0; number < PAIRS; number++) {
            try (SessionStateCaller first = new SessionStateCaller(fixture, database);
                    SessionStateCaller second = new SessionStateCaller(fixture, database)) {
                for (int step = random.nextInt(4, 24); step > 0; step--) {
                    (random.nextBoolean() ? first : second).perform(random);
                }
            }
        }
    }

    private void perform(SplittableRandom random) throws IOException {
        String name = "n" + random.nextInt(NAMES);
        switch (random.nextInt(10)) {
            case 0, 1 -> set(name, "v" + random.nextInt(2));
            case 2 -> prepareAgain(name, "q" + random.nextInt(SHAPES));
            case 3, 4 -> executeIfPrepared(name);
            case 5 -> send(inTransaction ? "abort" : "begin");
            case 6 -> runOrBegin();
            case 7 -> run("write");
            default -> run("read");
        }
    }

    private void prepareAgain(String name, String shape) throws IOException {
        if (prepared.remove(name) != null) {
            send("deallocate", name);
        }
        prepare(name, shape);
    }

    private void executeIfPrepared(String name) throws IOException {
        if (prepared.containsKey(name)) {
            execute(name);
        }
    }

    private void runOrBegin() throws IOException {
        if (inTransaction) {
            run("commit");
        } else {
            send("begin");
        }
    }

    void set(String name, String value) throws IOException {
        send("set", value + " " + name);
        variables.put(name, value);
    }

    void prepare(String name, String shape) throws IOException {
        send("prepare", name + " " + shape);
        prepared.put(name, shape);
    }

    void execute(String name) throws IOException {
        String request = send("execute", name);
        assertThat(
                database.run(request),
                is(Optional.of(new SessionStateDatabase.Run(variables, Optional.of(prepared.get(name))))));
    }

    void run(String word) throws IOException {
        String request = send(word);
        assertThat(database.run(request), is(Optional.of(new SessionStateDatabase.Run(variables, Optional.empty()))));
    }

    String send(String word) throws IOException {
        return send(word, "");
    }

    /** Sends a message that must succeed, and returns the id of its request. */
    private String send(String word, String rest) throws IOException {
        String request = "r" + LAST_REQUEST.incrementAndGet();
        caller.send((word + " " + request + " " + rest).strip());
        assertThat(word + " " + rest, caller.readLine(), startsWith("completed"));
        inTransaction = switch (word) {
            case "begin" -> true;
            case "commit", "abort" -> false;
            default -> inTransaction;
        };
        return request;
    }

    @Override
    public void close() throws IOException {
        caller.close();
    }
}
