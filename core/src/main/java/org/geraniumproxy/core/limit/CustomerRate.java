package org.geraniumproxy.core.limit;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.geraniumproxy.core.control.Transition;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.service.ServiceCustomer;

/**
 * Rate of one customer at one VM: the borrower's side, and the owner's side if this VM owns the rate.
 *
 * @param customer rate and burst of the customer
 * @param holders VMs that hold a part of the rate, the owner first
 * @param borrowed tokens for the operations of this VM
 * @param owned tokens of the whole fleet, if this VM owns the rate
 * @param previousOwner VM that owned the rate before the present owner; for a VM that joins, the owner without it
 * @param handover last handover from another VM
 */
public record CustomerRate(
        ServiceCustomer customer,
        List<VmName> holders,
        BorrowedRate borrowed,
        Optional<OwnedRate> owned,
        Optional<VmName> previousOwner,
        Optional<Handover> handover) {
    /**
     * Time for which a handover is kept until this VM learns that it is the owner. The sender may own the rate again
     * later.
     */
    private static final Duration HANDOVER_VALIDITY = Duration.ofSeconds(3);

    /** Handover of this customer's rate. */
    record Handover(VmName sender, long tokens, Instant receivedAt) {
        boolean isValid(Instant now) {
            return now.isBefore(receivedAt.plus(HANDOVER_VALIDITY));
        }
    }

    /** Copies the holders. */
    public CustomerRate {
        holders = List.copyOf(holders);
    }

    /**
     * Returns the state of a customer that was not known before.
     *
     * @param customer rate and burst of the customer
     * @param ownership members of the fleet
     * @param membersSince time at which this VM learned of these members
     * @param firstRequestId identifier that is not smaller than any of an earlier request of this VM for this customer
     * @param now current time
     * @return a state without tokens
     */
    public static CustomerRate initial(
            ServiceCustomer customer, RateOwnership ownership, Instant membersSince, long firstRequestId, Instant now) {
        List<VmName> holders = ownership.holders(customer.name(), customer.burst());
        Duration takeoverDelay = takeoverDelay(ownership, membersSince, now);
        Optional<VmName> ownerWithoutSelf = ownership
                .withoutSelf()
                .map(others -> others.holders(customer.name(), 1).getFirst());
        Optional<OwnedRate> owned = holders.getFirst().equals(ownership.self())
                ? Optional.of(OwnedRate.initial(customer.operationsPerSecond(), customer.burst(), takeoverDelay, now))
                : Optional.empty();
        return new CustomerRate(
                        customer,
                        holders,
                        BorrowedRate.initial(firstRequestId, now),
                        owned,
                        ownerWithoutSelf,
                        Optional.empty())
                .withLimits(ownership, now);
    }

    private static Duration takeoverDelay(RateOwnership ownership, Instant membersSince, Instant now) {
        Instant end = membersSince.plus(OwnedRate.TAKEOVER_DELAY);
        return ownership.resumed() || !now.isBefore(end) ? Duration.ZERO : Duration.between(now, end);
    }

    /**
     * Returns the owner of the rate.
     *
     * @return name of a VM, possibly this one
     */
    public VmName owner() {
        return holders.getFirst();
    }

    /**
     * Applies other limits and other members.
     *
     * @param newest rate and burst of the customer
     * @param ownership members of the fleet
     * @param change change of the members since the last call
     * @param now current time
     * @return next state and its effects
     */
    public Transition<CustomerRate, CustomerRateEffect> update(
            ServiceCustomer newest, RateOwnership ownership, MemberChange change, Instant now) {
        boolean limitsChanged = !newest.equals(customer);
        if (!change.changed() && !limitsChanged && owned.isEmpty()) {
            // What a borrower may do follows from its limits and the holders alone.
            return Transition.to(this);
        }
        List<VmName> ranked = holders;
        if (newest.burst() != customer.burst()) {
            ranked = ownership.holders(newest.name(), newest.burst());
        } else if (change.changed()) {
            ranked = ownership.holders(newest.name(), newest.burst(), change, holders);
        }
        VmName nextOwner = ranked.getFirst();
        CustomerRate next = new CustomerRate(newest, ranked, borrowed, owned, previousOwner, handover);
        if (nextOwner.equals(owner())) {
            return Transition.to(next.withLimits(ownership, now));
        }
        List<CustomerRateEffect> effects = new ArrayList<>();
        owned.filter(state -> state.lends(now))
                .ifPresent(
                        state -> effects.add(new CustomerRateEffect.HandOver(nextOwner, state.availableTokens(now))));
        Optional<OwnedRate> taken =
                nextOwner.equals(ownership.self()) ? Optional.of(takeOver(newest, now)) : Optional.empty();
        Transition<BorrowedRate, CustomerRateEffect> asked = borrowed.ownerReplaced(now);
        effects.addAll(asked.effects());
        CustomerRate replaced =
                new CustomerRate(newest, ranked, asked.state(), taken, Optional.of(owner()), Optional.empty());
        return Transition.to(replaced.withLimits(ownership, now), effects);
    }

    /**
     * Applies a handover. It counts only from the previous owner: another VM cannot know that the previous one stopped.
     *
     * @param sender VM that stopped lending
     * @param tokens tokens that it had left
     * @param now current time
     * @return next state
     */
    public CustomerRate receiveHandover(VmName sender, long tokens, Instant now) {
        if (owned.isPresent()) {
            boolean fromPreviousOwner = previousOwner.map(sender::equals).orElse(false);
            return fromPreviousOwner ? with(owned.get().withHandover(tokens, now)) : this;
        }
        Optional<Handover> received = Optional.of(new Handover(sender, tokens, now));
        return new CustomerRate(customer, holders, borrowed, owned, previousOwner, received);
    }

    /**
     * Answers the request of a VM, which may be this one.
     *
     * @param request request for tokens
     * @param now current time
     * @return the answer and the next state
     */
    public Answered answer(TokenRequest request, Instant now) {
        if (owned.isEmpty()) {
            return new Answered(this, new TokenAnswer.NotLending(request.customer(), request.requestId()));
        }
        OwnedRate.Result result = owned.get().answer(request, now);
        return new Answered(with(result.next()), result.answer());
    }

    /**
     * The answer to a request.
     *
     * @param next state after the answer
     * @param answer answer to the borrower
     */
    public record Answered(CustomerRate next, TokenAnswer answer) {}

    /**
     * Replaces the borrower's side.
     *
     * @param next state of the borrower's side
     * @return the state with it
     */
    public CustomerRate with(BorrowedRate next) {
        return new CustomerRate(customer, holders, next, owned, previousOwner, handover);
    }

    private CustomerRate with(OwnedRate next) {
        return new CustomerRate(customer, holders, borrowed, Optional.of(next), previousOwner, handover);
    }

    private OwnedRate takeOver(ServiceCustomer newest, Instant now) {
        OwnedRate waiting =
                OwnedRate.initial(newest.operationsPerSecond(), newest.burst(), OwnedRate.TAKEOVER_DELAY, now);
        return handover.filter(received -> received.sender().equals(owner()) && received.isValid(now))
                .map(received -> waiting.withHandover(received.tokens(), now))
                .orElse(waiting);
    }

    /** Sets the limits of both sides: what the owner may lend, and the part of this VM. */
    private CustomerRate withLimits(RateOwnership ownership, Instant now) {
        double part = holders.contains(ownership.self()) ? 1.0 / holders.size() : 0;
        BorrowedRate limited =
                borrowed.withEqualPart(customer.operationsPerSecond() * part, customer.burst() * part, now);
        double fraction = ownership.lendableFraction(holders);
        Optional<OwnedRate> lendable = owned.map(
                state -> state.withLimits(customer.operationsPerSecond() * fraction, customer.burst() * fraction, now)
                        .retainBorrowers(ownership.addresses().keySet()));
        return new CustomerRate(customer, holders, limited, lendable, previousOwner, handover);
    }
}
