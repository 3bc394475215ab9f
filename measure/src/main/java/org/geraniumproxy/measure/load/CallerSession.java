package org.geraniumproxy.measure.load;

import io.grpc.StatusRuntimeException;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.geraniumproxy.protocol.Access;
import org.geraniumproxy.protocol.CallerServiceGrpc;
import org.geraniumproxy.protocol.ExecuteReply;
import org.geraniumproxy.protocol.ExecuteRequest;

/**
 * Session that carries its token from proxy to proxy and makes one request at a time. Not safe for use by several
 * threads.
 *
 * <pre>{@code
 * RequestRecord done = session.run(new Operation.AddOnce("payment-17"), RequestOptions.of("payments", "troupe-4"));
 * }</pre>
 */
public final class CallerSession {
    /** Probability that a request chooses a proxy anew instead of using the previous one. */
    private static final double PROXY_CHANGE_PROBABILITY = 0.3;

    /** Time after the call timeout in which the proxy can still report the outcome. */
    private static final Duration REPLY_GRACE_PERIOD = Duration.ofMillis(500);

    private final Identity identity;
    private final ProxyChannels proxies;
    private final RandomGenerator random;
    private final Clock clock;
    private final LoadRecorder recorder;
    private final List<GuaranteeViolation> violations = new ArrayList<>();
    private String token = "";
    private int proxy;
    private long requestNumber;

    /**
     * Name and credentials of a session.
     *
     * @param session name of the session
     * @param customer name of the customer; for requests without a key, the customer that they run for
     * @param key key of the customer, empty for requests without a key
     */
    public record Identity(String session, String customer, String key) {
        @Override
        public String toString() {
            return session;
        }
    }

    /**
     * Creates a session without a token.
     *
     * @param identity name and credentials of the session
     * @param proxies channels to choose from
     * @param random source of the choice of proxies
     * @param clock source of the recorded times
     * @param recorder receives a record of each request
     */
    public CallerSession(
            Identity identity, ProxyChannels proxies, RandomGenerator random, Clock clock, LoadRecorder recorder) {
        this.identity = identity;
        this.proxies = proxies;
        this.random = random;
        this.clock = clock;
        this.recorder = recorder;
        this.proxy = random.nextInt(proxies.count());
    }

    /**
     * Makes a request, retries it where that is safe for the operation, and records it.
     *
     * @param operation operation to run
     * @param options route and timeouts
     * @return the record, which has also been passed to the recorder
     * @throws InterruptedException if the thread is interrupted while it waits for a retry
     */
    public RequestRecord run(Operation operation, RequestOptions options) throws InterruptedException {
        Instant startedAt = clock.instant();
        Instant deadline = startedAt.plus(options.requestTimeout());
        boolean hadUnknownOutcome = false;
        int calls = 0;
        violations.clear();
        changeProxyOccasionally();
        while (true) {
            calls++;
            CallResult result = call(operation, options);
            hadUnknownOutcome |= result instanceof CallResult.Unknown;
            switch (RetryDecision.decide(operation, result, Duration.between(clock.instant(), deadline))) {
                case RetryDecision.Finish finish -> {
                    CallResult finalResult = hadUnknownOutcome && result instanceof CallResult.NotRun
                            ? new CallResult.Unknown("the outcome of an earlier call is unknown")
                            : result;
                    return record(operation, options, startedAt, calls, hadUnknownOutcome, finalResult);
                }
                case RetryDecision.Retry retry -> {
                    chooseProxy();
                    Thread.sleep(retry.delay());
                }
            }
        }
    }

    private RequestRecord record(
            Operation operation,
            RequestOptions options,
            Instant startedAt,
            int calls,
            boolean hadUnknownOutcome,
            CallResult result) {
        RequestRecord request = new RequestRecord(
                identity.session(),
                identity.customer(),
                options.route(),
                operation,
                startedAt,
                clock.instant(),
                calls,
                hadUnknownOutcome,
                result,
                violations);
        recorder.add(request);
        return request;
    }

    private CallResult call(Operation operation, RequestOptions options) {
        try {
            CallResult result = operation instanceof Operation.AddInTransaction together
                    ? transact(together, options)
                    : execute(operation, options);
            if (result instanceof CallResult.Answered answered) {
                AnswerCheck.checkRows(operation, answered.rows()).ifPresent(violations::add);
            }
            return result;
        } catch (StatusRuntimeException e) {
            proxies.resetConnectBackoff(proxy);
            return new CallResult.Unknown(e.getStatus().toString());
        }
    }

    private CallResult execute(Operation operation, RequestOptions options) {
        ExecuteRequest request = buildRequest(operation, options)
                .setStatement(operation.statements().getFirst())
                .build();
        ExecuteReply reply = CallerServiceGrpc.newBlockingStub(proxies.get(proxy))
                .withDeadlineAfter(
                        options.callTimeout().plus(REPLY_GRACE_PERIOD).toMillis(), TimeUnit.MILLISECONDS)
                .execute(request);
        return acceptReply(request.getRequestNumber(), reply);
    }

    private CallResult transact(Operation.AddInTransaction operation, RequestOptions options) {
        Duration timeout = options.callTimeout().plus(REPLY_GRACE_PERIOD);
        try (TransactionCall call = TransactionCall.open(proxies.get(proxy), timeout)) {
            return call.run(buildRequest(operation, options).build(), operation.statements(), this::acceptReply);
        }
    }

    private ExecuteRequest.Builder buildRequest(Operation operation, RequestOptions options) {
        requestNumber++;
        return ExecuteRequest.newBuilder()
                .setRequestNumber(requestNumber)
                .setKey(identity.key())
                .setSessionToken(token)
                .setRoute(options.route())
                .setStatementKey(options.statementKey())
                .setDeadlineMillis(options.callTimeout().toMillis())
                .setAccess(operation.isWrite() ? Access.WRITE : Access.READ)
                .setRepeatable(operation.isRepeatable())
                .setAcceptedAgeMillis(options.acceptedAge().toMillis());
    }

    private CallResult acceptReply(long expectedRequestNumber, ExecuteReply reply) {
        if (!reply.getSessionToken().isEmpty()) {
            token = reply.getSessionToken();
        }
        CallResult result = CallResultReader.read(reply);
        if (result instanceof CallResult.Answered) {
            Optional<GuaranteeViolation> violation = AnswerCheck.checkEnvelope(expectedRequestNumber, reply);
            violation.ifPresent(violations::add);
        }
        return result;
    }

    private void changeProxyOccasionally() {
        if (random.nextDouble() < PROXY_CHANGE_PROBABILITY) {
            chooseProxy();
        }
    }

    private void chooseProxy() {
        proxy = random.nextInt(proxies.count());
    }
}
