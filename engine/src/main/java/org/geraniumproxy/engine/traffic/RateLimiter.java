package org.geraniumproxy.engine.traffic;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.geraniumproxy.core.caller.CallerSession;
import org.geraniumproxy.core.caller.SessionEvent;
import org.geraniumproxy.core.control.Transition;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.limit.BorrowedRate;
import org.geraniumproxy.core.limit.BorrowedRateEffect;
import org.geraniumproxy.core.limit.OwnedRate;
import org.geraniumproxy.core.limit.RateOwnership;
import org.geraniumproxy.core.limit.TokenAnswer;
import org.geraniumproxy.core.limit.TokenRequest;
import org.geraniumproxy.core.limit.TokenSource;
import org.geraniumproxy.core.service.ServiceCustomer;

/**
 * Applies the rate limits: borrows tokens for the callers of this VM from the owner of each customer's rate, and lends
 * those of the customers that this VM owns. Anonymous callers are not limited. Used on the traffic thread.
 */
final class RateLimiter {
    /** Time after which a customer without a limit may come back; a configuration is in force by then. */
    private static final Duration UNKNOWN_CUSTOMER_DELAY = Duration.ofSeconds(1);

    private final TrafficEngine engine;
    private final PeerSender sender;
    private final Map<CustomerName, CustomerRate> rates = new HashMap<>();
    private RateOwnership ownership = RateOwnership.alone(VmName.of("unknown"));

    /** Rate of one customer: the borrower's side, and the owner's side if this VM owns it. */
    private record CustomerRate(
            ServiceCustomer customer, List<VmName> holders, BorrowedRate borrowed, Optional<OwnedRate> owned) {
        VmName owner() {
            return holders.getFirst();
        }

        CustomerRate with(BorrowedRate next) {
            return new CustomerRate(customer, holders, next, owned);
        }

        CustomerRate with(OwnedRate next) {
            return new CustomerRate(customer, holders, borrowed, Optional.of(next));
        }
    }

    RateLimiter(TrafficEngine engine, PeerSender sender) {
        this.engine = engine;
        this.sender = sender;
    }

    /** Applies new limits and new owners. */
    void update(Map<CustomerName, ServiceCustomer> customers, RateOwnership next) {
        boolean membersChanged = !next.members().equals(ownership.members());
        ownership = next;
        rates.keySet().retainAll(customers.keySet());
        customers.values().forEach(customer -> update(customer, membersChanged));
    }

    private void update(ServiceCustomer customer, boolean membersChanged) {
        CustomerRate known = rates.get(customer.name());
        boolean rankingChanged =
                known == null || membersChanged || known.customer().burst() != customer.burst();
        List<VmName> holders = rankingChanged ? ownership.holders(customer.name(), customer.burst()) : known.holders();
        BorrowedRate borrowed = borrowedRate(customer, holders, Optional.ofNullable(known));
        rates.put(
                customer.name(),
                new CustomerRate(
                        customer, holders, borrowed, ownedRate(customer, holders, Optional.ofNullable(known))));
        if (known != null && !known.owner().equals(holders.getFirst())) {
            engine.log("-", "rate owner changed", "customer=" + customer.name() + " owner=" + holders.getFirst());
            apply(customer.name(), borrowed.ownerReplaced(engine.now()));
        }
    }

    private BorrowedRate borrowedRate(ServiceCustomer customer, List<VmName> holders, Optional<CustomerRate> known) {
        double part = holders.contains(ownership.self()) ? 1.0 / holders.size() : 0;
        return known.map(CustomerRate::borrowed)
                .orElseGet(() -> BorrowedRate.initial(engine.firstRequestId(), engine.now()))
                .withEqualPart(customer.operationsPerSecond() * part, customer.burst() * part, engine.now());
    }

    private Optional<OwnedRate> ownedRate(
            ServiceCustomer customer, List<VmName> holders, Optional<CustomerRate> known) {
        if (!holders.getFirst().equals(ownership.self())) {
            return Optional.empty();
        }
        double fraction = ownership.lendableFraction(holders);
        double rate = customer.operationsPerSecond() * fraction;
        double burst = customer.burst() * fraction;
        Duration takeoverDelay = known.isEmpty() && ownership.resumed() ? Duration.ZERO : OwnedRate.TAKEOVER_DELAY;
        return Optional.of(known.flatMap(CustomerRate::owned)
                .orElseGet(() -> OwnedRate.initial(rate, burst, takeoverDelay, engine.now()))
                .withLimits(rate, burst, engine.now())
                .retainBorrowers(ownership.addresses().keySet()));
    }

    /** Requests a token for the operation of a session, which receives the decision as an event. */
    void admit(long session, CustomerName customer, Duration maximumWait) {
        if (customer.equals(CallerSession.ANONYMOUS)) {
            engine.deliver(session, new SessionEvent.RateTokenGranted());
            return;
        }
        CustomerRate rate = rates.get(customer);
        if (rate == null) {
            engine.deliver(session, new SessionEvent.RateTokenRefused(UNKNOWN_CUSTOMER_DELAY, "no limit is known"));
            return;
        }
        apply(customer, rate.borrowed().arrive(session, maximumWait, engine.now()));
    }

    void receive(TokenRequest request) {
        String address = ownership.addresses().get(request.borrower());
        if (address == null) {
            engine.log("-", "token request ignored", "vm=" + request.borrower() + " reason=\"not a known VM\"");
            return;
        }
        sender.send(answer(request), request.borrower(), address);
    }

    void receive(TokenAnswer answer) {
        CustomerRate rate = rates.get(answer.customer());
        if (rate != null) {
            apply(answer.customer(), rate.borrowed().answered(answer, engine.now()));
        }
    }

    private TokenAnswer answer(TokenRequest request) {
        CustomerRate rate = rates.get(request.customer());
        if (rate == null || rate.owned().isEmpty()) {
            return new TokenAnswer.NotLending(request.customer(), request.requestId());
        }
        OwnedRate.Result result = rate.owned().get().answer(request, engine.now());
        rates.put(request.customer(), rate.with(result.next()));
        return result.answer();
    }

    private void apply(CustomerName customer, Transition<BorrowedRate, BorrowedRateEffect> transition) {
        CustomerRate rate = rates.get(customer).with(transition.state());
        rates.put(customer, rate);
        for (BorrowedRateEffect effect : transition.effects()) {
            execute(customer, rate.owner(), effect);
        }
    }

    private void execute(CustomerName customer, VmName owner, BorrowedRateEffect effect) {
        switch (effect) {
            case BorrowedRateEffect.Admit admit -> deliverAfter(admit.operation(), admit.delay());
            case BorrowedRateEffect.Refuse refuse -> {
                engine.metrics().operationOverRate(refuse.source());
                engine.deliver(
                        refuse.operation(),
                        new SessionEvent.RateTokenRefused(refuse.retryAfter(), describe(owner, refuse.source())));
            }
            case BorrowedRateEffect.Ask ask -> ask(customer, owner, ask);
            case BorrowedRateEffect.OwnerChanged changed ->
                engine.log(
                        "-",
                        changed.answering() ? "rate owner answers" : "rate owner silent",
                        "customer=" + customer + " owner=" + owner);
        }
    }

    private static String describe(VmName owner, TokenSource source) {
        return switch (source) {
            case OWNER -> "owner " + owner + " has no token";
            case EQUAL_PART -> "owner " + owner + " doesn't lend, the equal part has no token";
        };
    }

    private void deliverAfter(long session, Duration delay) {
        if (delay.isZero()) {
            engine.deliver(session, new SessionEvent.RateTokenGranted());
            return;
        }
        engine.loop().schedule(engine.now().plus(delay), () -> {
            engine.deliver(session, new SessionEvent.RateTokenGranted());
            engine.runPendingSteps();
        });
    }

    private void ask(CustomerName customer, VmName owner, BorrowedRateEffect.Ask ask) {
        TokenRequest request = new TokenRequest(
                ownership.self(), customer, ask.requestId(), ask.needed(), ask.ahead(), ask.maximumWait());
        if (owner.equals(ownership.self())) {
            receive(answer(request));
            return;
        }
        String address = ownership.addresses().get(owner);
        if (address != null) {
            sender.send(request, owner, address);
        }
        rates.get(customer).borrowed().nextWakeAt().ifPresent(wakeAt -> scheduleTimeout(customer, wakeAt));
    }

    /** Checks after a request was sent whether it must be repeated or given up. */
    private void scheduleTimeout(CustomerName customer, Instant wakeAt) {
        engine.loop().schedule(wakeAt, () -> {
            CustomerRate rate = rates.get(customer);
            if (rate != null) {
                apply(customer, rate.borrowed().timePassed(engine.now()));
                engine.runPendingSteps();
            }
        });
    }
}
