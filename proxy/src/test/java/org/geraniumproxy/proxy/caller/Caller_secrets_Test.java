package org.geraniumproxy.proxy.caller;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasItems;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.not;

import io.opentelemetry.sdk.trace.data.SpanData;
import java.time.Duration;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.logging.SimpleFormatter;
import org.geraniumproxy.protocol.Access;
import org.geraniumproxy.protocol.ExecuteRequest;
import org.geraniumproxy.proxy.testing.TestGroup;
import org.geraniumproxy.proxy.testing.TestNodes;
import org.geraniumproxy.proxy.testing.TransactionCaller;
import org.geraniumproxy.standin.runtime.Faults;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a key that reaches a backend server, and against keys or statements in logs and spans. */
class Caller_secrets_Test {
    private static final String STATEMENT_MARK = "marked-statement-c3d9";

    private final TestNodes nodes = new TestNodes();
    private final Logger root = Logger.getLogger("");
    private final Logger proxy = Logger.getLogger("org.geraniumproxy.proxy");
    private final RecordingHandler logged = new RecordingHandler();

    @BeforeEach
    void record() {
        proxy.setLevel(Level.ALL);
        root.addHandler(logged);
    }

    @AfterEach
    void close() {
        root.removeHandler(logged);
        nodes.close();
    }

    @Test
    void should_expose_neither_key_nor_statement_when_requests_succeed_and_fail() {
        // given
        Faults lostReply = new Faults(Duration.ZERO, false, 1, false, Optional.empty(), false);

        // when
        execute("PUT act " + STATEMENT_MARK);
        execute("malformed " + STATEMENT_MARK);
        nodes.group.inject(TestGroup.PRIMARY, lostReply);
        execute("PUT act " + STATEMENT_MARK);
        TransactionCaller caller = TransactionCaller.open(nodes.streamingCaller());
        caller.begin(TestNodes.KEY);
        caller.statement("PUT act " + STATEMENT_MARK);
        caller.commit();

        // then
        String received = nodes.group.history(TestGroup.PRIMARY).toString();
        String spans = nodes.spans.getFinishedSpanItems().toString();
        assertThat(received, containsString(STATEMENT_MARK));
        assertThat(received, not(containsString(TestNodes.KEY)));
        assertThat(spans, not(containsString(TestNodes.KEY)));
        assertThat(spans, not(containsString(STATEMENT_MARK)));
        assertThat(logged.text(), not(containsString(TestNodes.KEY)));
        assertThat(logged.text(), not(containsString(STATEMENT_MARK)));
    }

    @Test
    void should_trace_every_hop_in_one_trace_when_request_is_forwarded() {
        // when
        execute("PUT act mime");

        // then
        var finished = nodes.spans.getFinishedSpanItems();
        assertThat(
                finished.stream().map(SpanData::getName).toList(),
                hasItems("caller entry", "forward", "queue", "backend server", "reply"));
        assertThat(finished.stream().map(SpanData::getTraceId).distinct().toList(), hasSize(1));
        assertThat(finished.getLast().getName(), equalTo("caller entry"));
    }

    private void execute(String statement) {
        var unused = nodes.caller()
                .execute(ExecuteRequest.newBuilder()
                        .setKey(TestNodes.KEY)
                        .setRoute("registrations")
                        .setStatementKey("act")
                        .setStatement(statement)
                        .setAccess(Access.WRITE)
                        .setDeadlineMillis(20_000)
                        .build());
    }

    private static final class RecordingHandler extends Handler {
        private final Queue<String> lines = new ConcurrentLinkedQueue<>();
        private final SimpleFormatter formatter = new SimpleFormatter();

        String text() {
            return String.join("", lines);
        }

        @Override
        public void publish(LogRecord record) {
            lines.add(formatter.format(record));
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
    }
}
