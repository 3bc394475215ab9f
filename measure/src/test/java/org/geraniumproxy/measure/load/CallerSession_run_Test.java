package org.geraniumproxy.measure.load;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import io.grpc.Server;
import io.grpc.Status;
import io.grpc.stub.StreamObserver;
import java.time.Clock;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.UUID;
import org.geraniumproxy.protocol.Answer;
import org.geraniumproxy.protocol.CallerServiceGrpc;
import org.geraniumproxy.protocol.ExecuteReply;
import org.geraniumproxy.protocol.ExecuteRequest;
import org.geraniumproxy.protocol.NotRun;
import org.geraniumproxy.protocol.NotRunReason;
import org.geraniumproxy.protocol.Outcome;
import org.geraniumproxy.protocol.TransactionRequest;
import org.geraniumproxy.standin.Transport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class CallerSession_run_Test {
    private static final RequestOptions OPTIONS = RequestOptions.of("payments", "troupe");

    private final Transport transport = new Transport.InProcess();
    private final String address = UUID.randomUUID().toString();
    private final ScriptedProxy proxy = new ScriptedProxy();
    private Server server;
    private ProxyChannels channels;
    private CallerSession session;

    @BeforeEach
    void start() {
        server = transport.startServer(address, List.of(proxy));
        channels = ProxyChannels.open(List.of(address), transport::openChannel);
        session = new CallerSession(
                new CallerSession.Identity("s", "troupes", "key"),
                channels,
                new Random(1),
                Clock.systemUTC(),
                new LoadRecorder());
    }

    @AfterEach
    void stop() {
        channels.close();
        server.shutdownNow();
    }

    /** Guards against a caller that does not retry a refused call, or that loses its session token. */
    @Test
    void should_retry_a_call_that_was_not_run_with_the_latest_token() throws InterruptedException {
        // given
        proxy.replies.add(notRun(NotRunReason.NO_PRIMARY).setSessionToken("t1"));
        proxy.replies.add(answer("1").setSessionToken("t2"));
        proxy.replies.add(answer("1"));
        // when
        RequestRecord first = session.run(new Operation.AddOnce("p"), OPTIONS);
        session.run(new Operation.AddOnce("q"), OPTIONS);
        // then
        assertThat(first.isAnswered(), is(true));
        assertThat(first.calls(), is(2));
        assertThat(proxy.tokens, contains("", "t1", "t2"));
    }

    /** Guards against repeating a non-repeatable write whose outcome is unknown. */
    @Test
    void should_not_repeat_a_payment_with_unknown_outcome() throws InterruptedException {
        // given
        proxy.replies.add(ExecuteReply.newBuilder());
        // when
        RequestRecord payment = session.run(new Operation.AddOnce("p"), OPTIONS);
        // then
        assertThat(payment.result(), instanceOf(CallResult.Unknown.class));
        assertThat(payment.calls(), is(1));
    }

    /** Guards against reporting a repeatable write as not run although its first call may have run. */
    @Test
    void should_stay_unknown_when_a_later_call_was_not_run() throws InterruptedException {
        // given
        proxy.replies.add(ExecuteReply.newBuilder());
        proxy.replies.add(notRun(NotRunReason.RATE_EXCEEDED));
        // when
        RequestRecord put = session.run(new Operation.PutNext("k", 1), OPTIONS);
        // then
        assertThat(put.result(), instanceOf(CallResult.Unknown.class));
    }

    /** Guards against accepting the answer to another request. */
    @Test
    void should_report_an_answer_to_another_request() throws InterruptedException {
        // given
        proxy.replies.add(answer("other=1"));
        // when
        RequestRecord read = session.run(new Operation.ReadOwn("k"), OPTIONS);
        // then
        assertThat(read.violations().getFirst().guarantee(), is(Guarantee.OWN_ANSWER));
    }

    /** Guards against a transaction that omits a statement or the commit. */
    @Test
    void should_commit_after_the_last_statement() throws InterruptedException {
        // given
        proxy.replies.add(answer());
        proxy.replies.add(answer("1"));
        proxy.replies.add(answer("1"));
        proxy.replies.add(answer());
        // when
        RequestRecord pair = session.run(new Operation.AddInTransaction(List.of("a", "b")), OPTIONS);
        // then
        assertThat(pair.isAnswered(), is(true));
        assertThat(proxy.steps, contains("BEGIN", "STATEMENT", "STATEMENT", "COMMIT"));
    }

    private static ExecuteReply.Builder answer(String... rows) {
        Answer answer = Answer.newBuilder()
                .addAllRows(List.of(rows))
                .setRowCount(rows.length)
                .setComplete(true)
                .build();
        return ExecuteReply.newBuilder().setOutcome(Outcome.newBuilder().setAnswer(answer));
    }

    private static ExecuteReply.Builder notRun(NotRunReason reason) {
        return ExecuteReply.newBuilder()
                .setOutcome(Outcome.newBuilder().setNotRun(NotRun.newBuilder().setReason(reason)));
    }

    /** Fake proxy that sends prepared replies; a reply without outcome makes the call fail. */
    private static final class ScriptedProxy extends CallerServiceGrpc.CallerServiceImplBase {
        private final Queue<ExecuteReply.Builder> replies = new ArrayDeque<>();
        private final List<String> tokens = new ArrayList<>();
        private final List<String> steps = new ArrayList<>();

        @Override
        public void execute(ExecuteRequest request, StreamObserver<ExecuteReply> observer) {
            tokens.add(request.getSessionToken());
            ExecuteReply.Builder reply = replies.remove();
            if (!reply.hasOutcome()) {
                observer.onError(Status.UNAVAILABLE.asRuntimeException());
                return;
            }
            observer.onNext(withRequestNumber(reply, request.getRequestNumber()));
            observer.onCompleted();
        }

        @Override
        public StreamObserver<TransactionRequest> transact(StreamObserver<ExecuteReply> observer) {
            return new StreamObserver<>() {
                @Override
                public void onNext(TransactionRequest request) {
                    steps.add(request.getStepCase().name());
                    observer.onNext(withRequestNumber(replies.remove(), 1));
                }

                @Override
                public void onError(Throwable failure) {}

                @Override
                public void onCompleted() {}
            };
        }

        private static ExecuteReply withRequestNumber(ExecuteReply.Builder reply, long requestNumber) {
            if (reply.getOutcome().hasAnswer()) {
                reply.getOutcomeBuilder().getAnswerBuilder().setRequestNumber(requestNumber);
            }
            return reply.setRequestNumber(requestNumber).build();
        }
    }
}
