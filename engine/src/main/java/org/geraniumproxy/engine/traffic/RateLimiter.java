package org.geraniumproxy.engine.traffic;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.geraniumproxy.core.caller.CallerSession;
import org.geraniumproxy.core.caller.SessionEvent;
import org.geraniumproxy.core.control.Transition;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.limit.BorrowedRate;
import org.geraniumproxy.core.limit.CustomerRate;
import org.geraniumproxy.core.limit.CustomerRateEffect;
import org.geraniumproxy.core.limit.MemberChange;
import org.geraniumproxy.core.limit.RateHandover;
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
    private final Map<VmName, Map<CustomerName, Long>> handovers = new HashMap<>();
    /**
     * Highest identifier of the requests for removed customers. A customer may be added again, and an owner that
     * skipped the removal repeats its last answer to a request with the same identifier.
     */
    private long lastRemovedRequestId = Long.MIN_VALUE;

    private Instant membersSince = Instant.MIN;
    private RateOwnership ownership = RateOwnership.alone(VmName.of("unknown"));
    private Map<CustomerName, ServiceCustomer> limits = Map.of();

    RateLimiter(TrafficEngine engine, PeerSender sender) {
        this.engine = engine;
        this.sender = sender;
    }

    /** Applies new limits and new owners. */
    void update(Map<CustomerName, ServiceCustomer> customers, RateOwnership next) {
        if (next.equals(ownership) && customers.equals(limits)) {
            return;
        }
        MemberChange change = next.changeSince(ownership);
        if (change.changed()) {
            membersSince = engine.now();
        }
        ownership = next;
        limits = customers;
        removeAllExcept(customers.keySet());
        customers.values().forEach(customer -> update(customer, change));
        sendHandovers();
    }

    /**
     * Forgets the other customers and refuses their waiting operations, which no answer of an owner reaches any more.
     */
    private void removeAllExcept(Set<CustomerName> customers) {
        rates.forEach((customer, rate) -> {
            if (!customers.contains(customer)) {
                lastRemovedRequestId =
                        Math.max(lastRemovedRequestId, rate.borrowed().lastRequestId());
                rate.borrowed()
                        .waitingOperations()
                        .forEach(operation -> refuse(
                                operation, UNKNOWN_CUSTOMER_DELAY, "the customer was removed from the configuration"));
            }
        });
        rates.keySet().retainAll(customers);
    }

    private void update(ServiceCustomer customer, MemberChange change) {
        CustomerRate known = rates.get(customer.name());
        if (known == null) {
            long firstRequestId = Math.max(engine.firstRequestId(), lastRemovedRequestId);
            rates.put(
                    customer.name(),
                    CustomerRate.initial(customer, ownership, membersSince, firstRequestId, engine.now()));
            return;
        }
        Transition<CustomerRate, CustomerRateEffect> transition =
                known.update(customer, ownership, change, engine.now());
        rates.put(customer.name(), transition.state());
        if (!known.owner().equals(transition.state().owner())) {
            engine.log(
                    "-",
                    "rate owner changed",
                    "customer=" + customer.name() + " owner="
                            + transition.state().owner());
        }
        transition.effects().forEach(effect -> execute(customer.name(), effect));
    }

    /** Hands the rates that this VM owns over to the VMs that own them when this one has left. */
    void handOverAll() {
        ownership.withoutSelf().ifPresent(remaining -> {
            Map<CustomerName, ServiceCustomer> customers = new HashMap<>();
            rates.forEach((name, rate) -> customers.put(name, rate.customer()));
            update(customers, remaining);
        });
    }

    private void sendHandovers() {
        handovers.forEach((owner, tokens) -> {
            String address = ownership.addresses().get(owner);
            if (address != null) {
                sender.send(new RateHandover(ownership.self(), tokens), owner, address);
            }
        });
        handovers.clear();
    }

    /** Applies the handover of rates that another VM owned. */
    void receive(RateHandover handover) {
        handover.tokens()
                .forEach((customer, tokens) -> rates.computeIfPresent(
                        customer, (_, rate) -> rate.receiveHandover(handover.sender(), tokens, engine.now())));
    }

    /** Requests a token for an operation, whose session receives the decision as an event. */
    void admit(long tokenRequestId, CustomerName customer, Duration maximumWait) {
        if (customer.equals(CallerSession.ANONYMOUS)) {
            grant(tokenRequestId);
            return;
        }
        CustomerRate rate = rates.get(customer);
        if (rate == null) {
            refuse(tokenRequestId, UNKNOWN_CUSTOMER_DELAY, "no limit is known");
            return;
        }
        apply(customer, rate.borrowed().arrive(tokenRequestId, maximumWait, engine.now()));
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
        if (rate == null) {
            return new TokenAnswer.NotLending(request.customer(), request.requestId());
        }
        CustomerRate.Answered answered = rate.answer(request, engine.now());
        rates.put(request.customer(), answered.next());
        return answered.answer();
    }

    private void apply(CustomerName customer, Transition<BorrowedRate, CustomerRateEffect> transition) {
        rates.put(customer, rates.get(customer).with(transition.state()));
        transition.effects().forEach(effect -> execute(customer, effect));
    }

    private void execute(CustomerName customer, CustomerRateEffect effect) {
        VmName owner = rates.get(customer).owner();
        switch (effect) {
            case CustomerRateEffect.Admit admit -> grantAfter(admit.operation(), admit.delay());
            case CustomerRateEffect.Refuse refuse -> {
                engine.metrics().operationOverRate(refuse.source());
                refuse(refuse.operation(), refuse.retryAfter(), describe(owner, refuse.source()));
            }
            case CustomerRateEffect.Ask ask -> ask(customer, owner, ask);
            case CustomerRateEffect.OwnerChanged changed ->
                engine.log(
                        "-",
                        changed.answering() ? "rate owner answers" : "rate owner silent",
                        "customer=" + customer + " owner=" + owner);
            case CustomerRateEffect.HandOver handOver ->
                handovers
                        .computeIfAbsent(handOver.owner(), _ -> new HashMap<>())
                        .put(customer, handOver.tokens());
        }
    }

    private static String describe(VmName owner, TokenSource source) {
        return switch (source) {
            case OWNER -> "owner " + owner + " has no token";
            case EQUAL_PART -> "owner " + owner + " doesn't lend, the equal part has no token";
        };
    }

    private void grantAfter(long tokenRequestId, Duration delay) {
        if (delay.isZero()) {
            grant(tokenRequestId);
            return;
        }
        engine.loop().schedule(engine.now().plus(delay), () -> {
            grant(tokenRequestId);
            engine.runPendingSteps();
        });
    }

    private void grant(long tokenRequestId) {
        engine.deliver(CallerSession.sessionIdOf(tokenRequestId), new SessionEvent.RateTokenGranted(tokenRequestId));
    }

    private void refuse(long tokenRequestId, Duration retryAfter, String cause) {
        engine.deliver(
                CallerSession.sessionIdOf(tokenRequestId),
                new SessionEvent.RateTokenRefused(tokenRequestId, retryAfter, cause));
    }

    private void ask(CustomerName customer, VmName owner, CustomerRateEffect.Ask ask) {
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
