package org.geraniumproxy.measure.process;

import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Connection of a node to a database stand-in, with its transaction and prepared statements. Used by one thread. */
public final class DatabaseConnection {
    /** Item whose name holds the work time in milliseconds and the length of the row, for example w150x7s20. */
    private static final Pattern ITEM = Pattern.compile("w(\\d+)x\\d+(?:s(\\d+))?");

    private static final Duration COMMIT_WORK = Duration.ofMillis(3);

    private final ServedDatabase database;
    private final long number;
    private final List<String> writes = new ArrayList<>();
    private final Map<String, String> prepared = new HashMap<>();
    private boolean open;
    private boolean failed;

    /**
     * Creates a connection in which nothing has happened.
     *
     * @param database database that is connected to
     * @param number number of the connection at its database
     */
    public DatabaseConnection(ServedDatabase database, long number) {
        this.database = database;
        this.number = number;
    }

    /**
     * Answers statements until the connection ends, then closes it.
     *
     * @param socket socket of the connection
     */
    public void serve(Socket socket) {
        try (LineSocket lines = new LineSocket(socket, Duration.ZERO)) {
            String[] connect = lines.readLine().orElse("").split(" ", -1);
            boolean isRight = connect.length > 2
                    && connect[1].equals(database.service())
                    && (connect.length == 3 || connect[3].equals(database.id()));
            if (!isRight) {
                lines.write("ERROR WRONGNODE " + database.id() + "\r\n");
                return;
            }
            lines.write(ready());
            for (var line = lines.readLine(); line.isPresent(); line = lines.readLine()) {
                String[] query = line.get().split(" ", 3);
                if (!query[0].equals("QUERY")) {
                    return;
                }
                database.receive(query[1], number);
                lines.write(answer(query[1], query[2].split(" ", -1)));
            }
        } catch (IOException e) {
            return; // the node ended the connection, which rolls its transaction back
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private String answer(String id, String[] words) throws InterruptedException {
        if (words[0].equals("WAITLSN")) {
            return database.holds(words[1])
                    ? answer(id, List.of(words).subList(2, words.length).toArray(new String[0]))
                    : error("LAGGING");
        }
        if (failed && !words[0].equals("COMMIT") && !words[0].equals("ABORT")) {
            return error("MALFORMED");
        }
        return switch (words[0]) {
            case "STATUS", "PAUSE", "UNPAUSE", "STEPDOWN" ->
                complete("ROW " + database.control(List.of(words)) + "\r\n", "-");
            case "DISCARD" -> discard();
            case "SETOPT" -> complete("", "-");
            case "PREPARE" -> {
                prepared.put(words[1], words[2]);
                yield complete("", "-");
            }
            case "DEALLOC" -> prepared.remove(words[1]) == null ? error("NOSTMT") : complete("", "-");
            case "BEGIN" -> begin(words.length == 1);
            case "ABORT" -> end();
            case "COMMIT" -> commit(id);
            case "EXECUTE" ->
                prepared.containsKey(words[1]) ? run(id, prepared.get(words[1]), words[2]) : error("NOSTMT");
            default -> run(id, words[0], words[1]);
        };
    }

    private String run(String id, String verb, String item) throws InterruptedException {
        Matcher matcher = ITEM.matcher(item);
        boolean isWrite = verb.equals("PUT");
        if (!matcher.matches() || (isWrite && !database.isPrimary())) {
            return error(isWrite ? "READONLY" : "MALFORMED");
        }
        database.work(id, number, Duration.ofMillis(Long.parseLong(matcher.group(1))));
        if (!isWrite) {
            int length = matcher.group(2) == null ? 8 : Integer.parseInt(matcher.group(2));
            return complete("ROW " + "r".repeat(length) + "\r\n", database.id() + "." + id);
        }
        if (open) {
            writes.add(id);
        } else {
            return committed(id, database.commit(List.of(id), number));
        }
        return complete("", database.id() + "." + id);
    }

    private String begin(boolean plain) {
        if (plain && !database.isPrimary()) {
            return error("READONLY");
        }
        open = true;
        return complete("", "-");
    }

    private String commit(String id) throws InterruptedException {
        boolean rolledBack = failed;
        database.work(id, number, COMMIT_WORK);
        Optional<String> failure =
                rolledBack || writes.isEmpty() ? Optional.empty() : database.commit(List.copyOf(writes), number);
        end();
        return rolledBack ? error("ROLLEDBACK") : committed(id, failure);
    }

    private String committed(String id, Optional<String> failure) {
        return failure.map(this::error).orElseGet(() -> complete("", database.id() + "." + id));
    }

    private String end() {
        open = false;
        failed = false;
        writes.clear();
        return complete("", "-");
    }

    private String discard() {
        prepared.clear();
        return complete("", "-");
    }

    private String error(String code) {
        failed = open;
        return "ERROR " + code + " x\r\n" + ready();
    }

    private String complete(String rows, String signature) {
        return rows + "COMPLETE " + signature + "\r\n" + ready();
    }

    private String ready() {
        return "READY " + (failed ? "E" : open ? "T" : "I") + " " + database.position() + "\r\n";
    }
}
