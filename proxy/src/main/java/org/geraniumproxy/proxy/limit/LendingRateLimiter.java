package org.geraniumproxy.proxy.limit;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.geraniumproxy.core.control.ControlSnapshot;
import org.geraniumproxy.core.control.Transition;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.limit.CustomerLimit;
import org.geraniumproxy.core.limit.LimitTiming;
import org.geraniumproxy.core.limit.LimitView;
import org.geraniumproxy.core.limit.LoanKey;
import org.geraniumproxy.core.limit.LoanOffer;
import org.geraniumproxy.core.limit.RateDecision;
import org.geraniumproxy.core.limit.RateEffect;
import org.geraniumproxy.core.limit.RateEvent;
import org.geraniumproxy.core.membership.Vm;
import org.geraniumproxy.proxy.control.SnapshotSource;
import org.geraniumproxy.proxy.peer.PeerClient;
import org.geraniumproxy.proxy.peer.TokenLender;
import org.jboss.logging.Logger;

/**
 * Rate limiter that keeps the token buckets of this VM and borrows tokens from other VMs. All state is confined to one
 * single-threaded executor; other threads submit events and receive futures.
 */
public final class LendingRateLimiter implements RateLimiter, TokenLender {
    private static final Logger log = Logger.getLogger(LendingRateLimiter.class);

    /** Interval at which every limit is evaluated; an expired view is detected within this time. */
    private static final Duration TICK_INTERVAL = Duration.ofMillis(200);

    /**
     * Loan identifiers reserved per millisecond of the start time, so that the identifiers of a restarted process lie
     * above those of the previous one.
     */
    private static final long IDENTIFIERS_PER_MILLISECOND = 1000;

    private final PeerClient peers;
    private final SnapshotSource snapshots;
    private final Clock clock;
    private final Executor executor;
    private final ScheduledExecutorService timer;
    private final HolderCache holders = new HolderCache();
    private final Map<CustomerName, CustomerLimit> limits = new HashMap<>();
    private final Map<CustomerName, Instant> scheduledWakeUps = new HashMap<>();
    private final Map<Long, CompletableFuture<RateDecision>> pendingRequests = new HashMap<>();
    private final Map<LoanKey, CompletableFuture<LoanOffer>> pendingOffers = new HashMap<>();
    private long nextRequestId;

    /**
     * Creates the limiter. Limits are evaluated regularly only after {@link #start()}.
     *
     * @param peers client of the other VMs, used to borrow and return tokens
     * @param snapshots source of the newest configuration and roster
     * @param clock measures refill, validity of loans and deadlines
     * @param executor single-threaded executor to which the buckets are confined
     * @param timer starts tasks that only pass work on to the executor
     */
    public LendingRateLimiter(
            PeerClient peers,
            SnapshotSource snapshots,
            Clock clock,
            Executor executor,
            ScheduledExecutorService timer) {
        this.peers = peers;
        this.snapshots = snapshots;
        this.clock = clock;
        this.executor = executor;
        this.timer = timer;
    }

    /**
     * Starts the regular evaluation of every customer's limit, which activates new shares and detects expired views.
     */
    public void start() {
        var unused = timer.scheduleAtFixedRate(
                () -> executor.execute(this::tick), 0, TICK_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
    }

    @Override
    public CompletableFuture<RateDecision> acquire(CustomerName customer, Instant deadline) {
        CompletableFuture<RateDecision> decision = new CompletableFuture<>();
        submit(decision, () -> {
            long requestId = nextRequestId++;
            pendingRequests.put(requestId, decision);
            apply(customer, new RateEvent.RequestArrived(requestId, deadline));
        });
        return decision;
    }

    @Override
    public CompletableFuture<LoanOffer> lend(
            VmName borrower, CustomerName customer, int wanted, long loanIdentifier, long rosterRevision) {
        CompletableFuture<LoanOffer> offer = new CompletableFuture<>();
        submit(offer, () -> {
            LoanKey loan = new LoanKey(borrower, loanIdentifier);
            pendingOffers.put(loan, offer);
            apply(customer, new RateEvent.LoanRequested(loan, wanted));
        });
        return offer;
    }

    @Override
    public CompletableFuture<Void> returned(
            VmName borrower, CustomerName customer, long loanIdentifier, int spent, int unspent) {
        CompletableFuture<Void> recorded = new CompletableFuture<>();
        submit(recorded, () -> {
            apply(customer, new RateEvent.LoanReported(new LoanKey(borrower, loanIdentifier), spent, unspent));
            recorded.complete(null);
        });
        return recorded;
    }

    private void submit(CompletableFuture<?> result, Runnable action) {
        executor.execute(() -> {
            try {
                action.run();
            } catch (RuntimeException e) {
                log.error("limit: event handler failed", e);
                result.completeExceptionally(e);
            }
        });
    }

    private void tick() {
        Set<CustomerName> customers = new HashSet<>(
                snapshots.snapshot().currentConfiguration().customers().keySet());
        customers.addAll(limits.keySet());
        for (CustomerName customer : customers) {
            try {
                apply(customer, new RateEvent.TimePassed());
            } catch (RuntimeException e) {
                log.errorf(e, "limit: evaluation of customer %s failed", customer);
            }
        }
    }

    private void apply(CustomerName customer, RateEvent event) {
        Instant now = clock.instant();
        ControlSnapshot snapshot = snapshots.snapshot();
        LimitView view = holders.view(snapshot, customer);
        CustomerLimit limit = limits.computeIfAbsent(customer, _ -> initial(now));
        Transition<CustomerLimit, RateEffect> transition = limit.on(event, view, now);
        limits.put(customer, transition.state());
        transition.effects().forEach(effect -> execute(snapshot, customer, effect));
        scheduleWakeUp(customer, transition.state(), now);
        discardIfRemoved(snapshot, customer, transition.state());
    }

    private CustomerLimit initial(Instant now) {
        return CustomerLimit.initial(LimitTiming.STANDARD, now.toEpochMilli() * IDENTIFIERS_PER_MILLISECOND, now);
    }

    private void discardIfRemoved(ControlSnapshot snapshot, CustomerName customer, CustomerLimit limit) {
        boolean configured = snapshot.currentConfiguration().customers().containsKey(customer);
        if (!configured && limit.isUnused()) {
            limits.remove(customer);
            scheduledWakeUps.remove(customer);
        }
    }

    private void scheduleWakeUp(CustomerName customer, CustomerLimit limit, Instant now) {
        Instant wakeUpAt = limit.nextWakeAt(now);
        Instant scheduled = scheduledWakeUps.get(customer);
        boolean covered = scheduled != null && scheduled.isAfter(now) && !scheduled.isAfter(wakeUpAt);
        if (covered || Duration.between(now, wakeUpAt).compareTo(TICK_INTERVAL) >= 0) {
            return;
        }
        scheduledWakeUps.put(customer, wakeUpAt);
        long delay = Math.max(1, Duration.between(now, wakeUpAt).toNanos());
        var unused = timer.schedule(
                () -> submit(new CompletableFuture<Void>(), () -> wakeUp(customer, wakeUpAt)),
                delay,
                TimeUnit.NANOSECONDS);
    }

    private void wakeUp(CustomerName customer, Instant wakeUpAt) {
        scheduledWakeUps.remove(customer, wakeUpAt);
        apply(customer, new RateEvent.TimePassed());
    }

    private void execute(ControlSnapshot snapshot, CustomerName customer, RateEffect effect) {
        switch (effect) {
            case RateEffect.Admit admit -> completeRequest(admit.requestNumber(), new RateDecision.Admitted());
            case RateEffect.Refuse refuse ->
                completeRequest(refuse.requestNumber(), new RateDecision.Refused(refuse.retryAfter()));
            case RateEffect.Borrow borrow -> borrow(snapshot, customer, borrow);
            case RateEffect.Report report ->
                find(snapshot, report.holder())
                        .forEach(vm -> peers.returnTokens(
                                vm, customer, report.loanIdentifier(), report.spent(), report.unspent()));
            case RateEffect.Offer offer -> {
                CompletableFuture<LoanOffer> pendingOffer = pendingOffers.remove(offer.loan());
                if (pendingOffer != null) {
                    pendingOffer.complete(offer.offer());
                }
            }
        }
    }

    private void completeRequest(long requestId, RateDecision decision) {
        CompletableFuture<RateDecision> pendingRequest = pendingRequests.remove(requestId);
        if (pendingRequest != null) {
            pendingRequest.complete(decision);
        }
    }

    private void borrow(ControlSnapshot snapshot, CustomerName customer, RateEffect.Borrow borrow) {
        long loan = borrow.loanIdentifier();
        List<Vm> holder = find(snapshot, borrow.holder());
        if (holder.isEmpty()) {
            executor.execute(() -> apply(customer, new RateEvent.HolderUnreachable(loan)));
            return;
        }
        long revision = snapshot.roster().revision();
        var unused = peers.borrow(holder.getFirst(), customer, borrow.wanted(), loan, revision)
                .whenComplete((offer, failure) ->
                        submit(new CompletableFuture<Void>(), () -> apply(customer, toEvent(loan, offer, failure))));
    }

    private static RateEvent toEvent(long loan, LoanOffer offer, Throwable failure) {
        if (failure != null || offer == null) {
            log.debugf("limit: a holder did not answer a loan request");
            return new RateEvent.HolderUnreachable(loan);
        }
        return new RateEvent.OfferArrived(loan, offer.granted(), offer.validity(), offer.remaining());
    }

    private static List<Vm> find(ControlSnapshot snapshot, VmName name) {
        return snapshot.roster().find(name).stream().toList();
    }
}
