package org.geraniumproxy.core.limit;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.geraniumproxy.core.control.Transition;

/**
 * Rate of one customer at a VM that serves its operations: the tokens borrowed from the owner, and the operations that
 * wait for its answer. While the owner doesn't answer, the VM uses its part of the rate if it holds one, which the
 * owner doesn't lend once it notices that the VM is unreachable.
 *
 * @param tokens borrowed tokens
 * @param contact state of the requests to the owner
 * @param waiting operations that wait for an answer, in order of arrival
 * @param demand operations requested per second at this VM
 * @param equalPart tokens for the time in which the owner doesn't answer
 */
public record BorrowedRate(
        BorrowedTokens tokens,
        OwnerContact contact,
        List<WaitingOperation> waiting,
        DemandEstimate demand,
        PacedRate equalPart) {
    /** Time for which tokens are borrowed ahead of demand: a few round trips between regions. */
    private static final Duration LOOKAHEAD = Duration.ofMillis(100);

    private static final double NANOSECONDS_PER_SECOND = 1e9;

    /** Operation that waits for a token. */
    record WaitingOperation(long operation, Duration maximumWait) {}

    /** Copies the list. */
    public BorrowedRate {
        waiting = List.copyOf(waiting);
    }

    /**
     * Returns the state of a VM that has not asked for tokens yet.
     *
     * @param firstRequestId identifier that is not smaller than any of an earlier request of this VM for this customer
     * @param now current time
     * @return a state without tokens
     */
    public static BorrowedRate initial(long firstRequestId, Instant now) {
        return new BorrowedRate(
                BorrowedTokens.none(now),
                OwnerContact.initial(firstRequestId, now),
                List.of(),
                DemandEstimate.none(now),
                PacedRate.empty(0, 0, now));
    }

    /**
     * Sets the part of the rate that this VM uses while the owner doesn't answer.
     *
     * @param tokensPerSecond rate of the part, zero if this VM holds none
     * @param burst burst of the part
     * @param now current time
     * @return the state with the part
     */
    public BorrowedRate withEqualPart(double tokensPerSecond, double burst, Instant now) {
        return with(equalPart.withLimits(tokensPerSecond, burst, now));
    }

    /**
     * Admits an operation, refuses it, or lets it wait for the owner's answer.
     *
     * @param operation number of the operation, unique on this VM
     * @param maximumWait longest time until the token is due
     * @param now current time
     * @return next state and its effects
     */
    public Transition<BorrowedRate, CustomerRateEffect> arrive(long operation, Duration maximumWait, Instant now) {
        List<CustomerRateEffect> effects = new ArrayList<>();
        WaitingOperation arrived = new WaitingOperation(operation, maximumWait);
        BorrowedRate counted = new BorrowedRate(tokens, contact, waiting, demand.withArrival(now), equalPart);
        return Transition.to(counted.admit(arrived, now, effects).askIfNeeded(now, effects), effects);
    }

    /**
     * Applies an answer of the owner. An answer to another than the pending request is ignored; its tokens are lost.
     *
     * @param answer answer of the owner
     * @param now current time
     * @return next state and its effects
     */
    public Transition<BorrowedRate, CustomerRateEffect> answered(TokenAnswer answer, Instant now) {
        if (!contact.awaits(answer.requestId())) {
            return Transition.to(this);
        }
        List<CustomerRateEffect> effects = new ArrayList<>();
        BorrowedRate next = switch (answer) {
            case TokenAnswer.Granted granted -> applyGrant(granted, now, effects);
            case TokenAnswer.NotLending _ -> useEqualPart(contact.withSilence(now), now, effects);
        };
        return Transition.to(next.askIfNeeded(now, effects), effects);
    }

    /**
     * Sends a request again or gives up on the owner if an answer is overdue.
     *
     * @param now current time
     * @return next state and its effects
     */
    public Transition<BorrowedRate, CustomerRateEffect> timePassed(Instant now) {
        if (contact.pending().isEmpty()) {
            return Transition.to(this);
        }
        OwnerContact.PendingRequest request = contact.pending().get();
        List<CustomerRateEffect> effects = new ArrayList<>();
        if (request.isOverdue(now)) {
            return Transition.to(useEqualPart(contact.withTimeout(now), now, effects), effects);
        }
        return request.mustBeResent(now)
                ? Transition.to(with(contact.withResent()), List.of(request.ask()))
                : Transition.to(this);
    }

    /**
     * Forgets the pending request, because another VM owns the rate now, and asks that one.
     *
     * @param now current time
     * @return next state and its effects
     */
    public Transition<BorrowedRate, CustomerRateEffect> ownerReplaced(Instant now) {
        List<CustomerRateEffect> effects = new ArrayList<>();
        return Transition.to(with(contact.withNewOwner(now)).askIfNeeded(now, effects), effects);
    }

    /**
     * Returns when {@link #timePassed} must be called.
     *
     * @return the time, or empty if no answer is awaited
     */
    public Optional<Instant> nextWakeAt() {
        return contact.pending().map(OwnerContact.PendingRequest::nextWakeAt);
    }

    /**
     * Returns the operations that wait for the owner's answer. Whoever drops this state must answer them.
     *
     * @return numbers of the operations, in order of arrival
     */
    public List<Long> waitingOperations() {
        return waiting.stream().map(WaitingOperation::operation).toList();
    }

    /**
     * Returns the identifier of the last request to an owner.
     *
     * @return the identifier, or the one that this state began with if there was no request
     */
    public long lastRequestId() {
        return contact.lastRequestId();
    }

    private BorrowedRate admit(WaitingOperation arrived, Instant now, List<CustomerRateEffect> effects) {
        if (tokens.isSpendable(now)) {
            return spend(arrived, now, effects);
        }
        if (contact.silent()) {
            return takeFromEqualPart(arrived, now, effects);
        }
        if (now.plus(arrived.maximumWait()).isBefore(contact.emptyUntil())) {
            effects.add(refusal(arrived, now));
            return this;
        }
        return with(Stream.concat(waiting.stream(), Stream.of(arrived)).toList());
    }

    private BorrowedRate spend(WaitingOperation operation, Instant now, List<CustomerRateEffect> effects) {
        effects.add(new CustomerRateEffect.Admit(operation.operation(), tokens.delay(now)));
        return with(tokens.spendOne());
    }

    private BorrowedRate takeFromEqualPart(WaitingOperation operation, Instant now, List<CustomerRateEffect> effects) {
        Duration wait = equalPart.waitFor(1, now);
        if (wait.compareTo(operation.maximumWait()) <= 0) {
            effects.add(new CustomerRateEffect.Admit(operation.operation(), wait));
            return with(equalPart.take(1, now));
        }
        Duration untilProbe = contact.untilProbe(now);
        Duration retryAfter = wait.compareTo(untilProbe) < 0 ? wait : untilProbe;
        effects.add(new CustomerRateEffect.Refuse(operation.operation(), retryAfter, TokenSource.EQUAL_PART));
        return this;
    }

    private CustomerRateEffect refusal(WaitingOperation operation, Instant now) {
        Duration retryAfter =
                now.isBefore(contact.emptyUntil()) ? Duration.between(now, contact.emptyUntil()) : Duration.ZERO;
        return new CustomerRateEffect.Refuse(operation.operation(), retryAfter, TokenSource.OWNER);
    }

    /**
     * Spends the granted tokens in order of arrival. Operations for which the owner was asked in vain are refused;
     * those that arrived after the request was sent are handled like new ones.
     */
    private BorrowedRate applyGrant(TokenAnswer.Granted granted, Instant now, List<CustomerRateEffect> effects) {
        CustomerRateEffect.Ask ask = contact.pending().orElseThrow().ask();
        if (contact.silent()) {
            effects.add(new CustomerRateEffect.OwnerChanged(true));
        }
        boolean empty = granted.granted() < ask.needed() + ask.ahead();
        BorrowedRate next = with(tokens.add(granted.granted(), granted.delay(), now))
                .with(contact.withGrant(empty ? now.plus(granted.retryAfter()) : now))
                .with(List.<WaitingOperation>of());
        for (int index = 0; index < waiting.size(); index++) {
            boolean askedInVain = index < ask.needed() && !next.tokens.isSpendable(now);
            if (askedInVain) {
                effects.add(next.refusal(waiting.get(index), now));
            } else {
                next = next.admit(waiting.get(index), now, effects);
            }
        }
        return next;
    }

    /** The part begins without tokens, because the owner may have lent the whole rate until now. */
    private BorrowedRate useEqualPart(OwnerContact failed, Instant now, List<CustomerRateEffect> effects) {
        BorrowedRate next = with(failed).with(List.<WaitingOperation>of());
        if (contact.timeouts() == 0 && !contact.silent()) {
            next = next.with(PacedRate.empty(equalPart.tokensPerSecond(), equalPart.burst(), now));
        }
        if (failed.silent() && !contact.silent()) {
            effects.add(new CustomerRateEffect.OwnerChanged(false));
        }
        for (WaitingOperation operation : waiting) {
            next = next.takeFromEqualPart(operation, now, effects);
        }
        return next;
    }

    private BorrowedRate askIfNeeded(Instant now, List<CustomerRateEffect> effects) {
        if (contact.pending().isPresent()) {
            return this;
        }
        int lookahead = (int) Math.floor(demand.perSecondAt(now) * LOOKAHEAD.toNanos() / NANOSECONDS_PER_SECOND);
        if (contact.silent()) {
            return now.isBefore(contact.nextProbeAt()) ? this : ask(Math.max(1, lookahead), now, effects);
        }
        boolean runsShort = tokens.count() * 2 < lookahead && !now.isBefore(contact.emptyUntil());
        return !waiting.isEmpty() || runsShort ? ask(lookahead, now, effects) : this;
    }

    private BorrowedRate ask(int ahead, Instant now, List<CustomerRateEffect> effects) {
        Duration maximumWait = waiting.stream()
                .map(WaitingOperation::maximumWait)
                .min(Duration::compareTo)
                .orElse(Duration.ZERO);
        CustomerRateEffect.Ask ask =
                new CustomerRateEffect.Ask(contact.lastRequestId() + 1, waiting.size(), ahead, maximumWait);
        effects.add(ask);
        return with(contact.withRequest(ask, now));
    }

    private BorrowedRate with(BorrowedTokens next) {
        return new BorrowedRate(next, contact, waiting, demand, equalPart);
    }

    private BorrowedRate with(OwnerContact next) {
        return new BorrowedRate(tokens, next, waiting, demand, equalPart);
    }

    private BorrowedRate with(List<WaitingOperation> next) {
        return new BorrowedRate(tokens, contact, next, demand, equalPart);
    }

    private BorrowedRate with(PacedRate next) {
        return new BorrowedRate(tokens, contact, waiting, demand, next);
    }
}
