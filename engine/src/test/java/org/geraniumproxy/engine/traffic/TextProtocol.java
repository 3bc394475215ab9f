package org.geraniumproxy.engine.traffic;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Function;
import org.geraniumproxy.core.caller.BackendCommand;
import org.geraniumproxy.core.caller.BackendReply;
import org.geraniumproxy.core.caller.ErrorCode;
import org.geraniumproxy.core.caller.SessionEffect;
import org.geraniumproxy.core.caller.StatementResult;
import org.geraniumproxy.core.caller.TransactionState;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.promotion.DatabaseStatus;
import org.geraniumproxy.core.statement.Statement;
import org.geraniumproxy.core.statement.StatementTemplate;

/** Line-based protocol for tests, so that the tests of the engine do not depend on the protocol of a platform. */
final class TextProtocol implements CallerProtocol {
    private TextProtocol() {}

    static CallerProtocol callerProtocol() {
        return new TextProtocol();
    }

    static BackendProtocol backendProtocol() {
        return new TextBackendProtocol();
    }

    @Override
    public CallerProtocol.Decoder decoder() {
        LineReader lines = new LineReader();
        return bytes -> lines.read(bytes, TextProtocol::decodeMessage);
    }

    @Override
    public byte[] encodeAccepted() {
        return line("accepted");
    }

    @Override
    public byte[] encodeRejected(StatementResult.Failed failure) {
        return line("rejected " + failure.code());
    }

    @Override
    public byte[] encodeReply(SessionEffect.Reply reply) {
        return line(
                switch (reply.result()) {
                    case StatementResult.Completed completed -> "completed " + completed.signature();
                    case StatementResult.Failed failed -> "failed " + failed.code();
                });
    }

    private static CallerMessage decodeMessage(String line) {
        String[] words = line.split(" ", -1);
        return switch (words[0]) {
            case "connect" -> new CallerMessage.Connect(words[1], words[2]);
            case "read" -> new CallerMessage.Query(words[1], new Statement.Read("item"));
            case "write" -> new CallerMessage.Query(words[1], new Statement.Write("item"));
            case "begin" -> new CallerMessage.Query(words[1], new Statement.Begin(false));
            case "commit" -> new CallerMessage.Query(words[1], new Statement.Commit());
            case "abort" -> new CallerMessage.Query(words[1], new Statement.Rollback());
            case "set" ->
                new CallerMessage.Query(
                        words[1], new Statement.SetVariable(words.length > 3 ? words[3] : "name", words[2]));
            case "prepare" ->
                new CallerMessage.Query(
                        words[1], new Statement.Prepare(words[2], new StatementTemplate(true, words[3])));
            case "deallocate" -> new CallerMessage.Query(words[1], new Statement.Deallocate(words[2]));
            case "execute" -> new CallerMessage.Query(words[1], new Statement.Execute(words[2], ""));
            case "quit" -> new CallerMessage.Quit();
            default -> new CallerMessage.Invalid("unknown word " + words[0], false);
        };
    }

    private static byte[] line(String text) {
        return (text + "\n").getBytes(StandardCharsets.UTF_8);
    }

    private static final class TextBackendProtocol implements BackendProtocol {
        @Override
        public BackendProtocol.Decoder decoder() {
            LineReader lines = new LineReader();
            return bytes -> lines.read(bytes, TextBackendProtocol::decodeReply);
        }

        @Override
        public BackendProtocol.Decoder decoderOfOpenConnection(long maximumReplyBytes) {
            return decoder();
        }

        @Override
        public byte[] encodeOpening(GroupName group, CustomerName customer, BackendServerName database) {
            return line("open " + database + " " + customer);
        }

        @Override
        public byte[] encodeCommand(BackendCommand command) {
            return line(
                    switch (command) {
                        case BackendCommand.ExecuteText run -> "run " + run.requestId();
                        case BackendCommand.ExecutePrepared run -> "execute " + run.requestId() + " " + run.name();
                        case BackendCommand.SetVariable set -> "setvariable " + set.name() + " " + set.value();
                        case BackendCommand.Prepare prepare ->
                            "prepare " + prepare.name() + " "
                                    + prepare.template().text();
                        case BackendCommand.Commit commit -> "commit " + commit.requestId();
                        default -> command.getClass().getSimpleName().toLowerCase(Locale.ROOT);
                    });
        }

        @Override
        public Optional<DatabaseStatus> decodeStatus(BackendReply reply) {
            return Optional.empty();
        }

        private static BackendReply decodeReply(String line) {
            if (line.equals("open")) {
                return new BackendReply(
                        List.of(), new StatementResult.Completed("signed"), TransactionState.OPEN, Optional.empty());
            }
            if (line.startsWith("failed ")) {
                return failed(line.substring("failed ".length()), TransactionState.FAILED);
            }
            return line.equals("ok")
                    ? new BackendReply(
                            List.of(), new StatementResult.Completed("signed"), TransactionState.IDLE, Optional.empty())
                    : failed(line, TransactionState.IDLE);
        }

        private static BackendReply failed(String code, TransactionState state) {
            StatementResult failure = new StatementResult.Failed(ErrorCode.valueOf(code), "defined by the test");
            return new BackendReply(List.of(), failure, state, Optional.empty());
        }
    }

    private static final class LineReader {
        private final StringBuilder pending = new StringBuilder();

        <T> List<T> read(ByteBuffer bytes, Function<String, T> decode) {
            pending.append(StandardCharsets.UTF_8.decode(bytes));
            List<T> decoded = new ArrayList<>();
            int end = pending.indexOf("\n");
            while (end >= 0) {
                decoded.add(decode.apply(pending.substring(0, end)));
                pending.delete(0, end + 1);
                end = pending.indexOf("\n");
            }
            return decoded;
        }
    }
}
