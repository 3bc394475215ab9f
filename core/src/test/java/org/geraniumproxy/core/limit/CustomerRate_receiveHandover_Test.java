package org.geraniumproxy.core.limit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.geraniumproxy.core.control.Transition;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.service.ServiceCustomer;
import org.junit.jupiter.api.Test;

/** Guards against two owners that lend the same rate around a handover. */
class CustomerRate_receiveHandover_Test {
    private static final ServiceCustomer CUSTOMER = new ServiceCustomer(CustomerName.of("troupe"), Set.of(), 20, 20);
    private static final List<VmName> RANKED = rank(List.of(VmName.of("vm-1"), VmName.of("vm-2"), VmName.of("vm-3")));
    private static final VmName SELF = RANKED.get(1);
    private static final VmName PREVIOUS = RANKED.get(0);
    private static final VmName OTHER = RANKED.get(2);

    private final Instant now = Instant.EPOCH.plusSeconds(60);
    private final CustomerRate borrower = CustomerRate.initial(CUSTOMER, members(PREVIOUS, SELF, OTHER), now, 0, now);

    @Test
    void should_lend_at_once_after_a_handover_of_the_previous_owner() {
        CustomerRate owner = update(borrower, members(SELF, OTHER));
        assertThat(answer(owner), instanceOf(TokenAnswer.NotLending.class));
        CustomerRate handedOver = owner.receiveHandover(PREVIOUS, 5, now);
        assertThat(((TokenAnswer.Granted) answer(handedOver)).granted(), is(5));
    }

    @Test
    void should_keep_a_handover_that_arrives_before_the_change_of_members() {
        CustomerRate owner = update(borrower.receiveHandover(PREVIOUS, 5, now), members(SELF, OTHER));
        assertThat(((TokenAnswer.Granted) answer(owner)).granted(), is(5));
    }

    @Test
    void should_ignore_a_handover_of_another_vm() {
        CustomerRate owner = update(borrower.receiveHandover(OTHER, 5, now), members(SELF, OTHER));
        assertThat(answer(owner), instanceOf(TokenAnswer.NotLending.class));
        assertThat(answer(owner.receiveHandover(OTHER, 5, now)), instanceOf(TokenAnswer.NotLending.class));
    }

    @Test
    void should_ignore_an_old_handover() {
        CustomerRate informed = borrower.receiveHandover(PREVIOUS, 5, now.minus(Duration.ofSeconds(3)));
        assertThat(answer(update(informed, members(SELF, OTHER))), instanceOf(TokenAnswer.NotLending.class));
    }

    /** Guards against a VM in its own takeover that tells the next one that nobody lends. */
    @Test
    void should_hand_over_only_what_it_lends_itself() {
        CustomerRate owner = update(borrower, members(SELF, OTHER));
        assertThat(
                owner.update(CUSTOMER, members(PREVIOUS, SELF, OTHER), returned(), now)
                        .effects(),
                is(List.of()));
        CustomerRate lending = owner.receiveHandover(PREVIOUS, 5, now);
        assertThat(
                lending.update(CUSTOMER, members(PREVIOUS, SELF, OTHER), returned(), now)
                        .effects(),
                is(List.of(new CustomerRateEffect.HandOver(PREVIOUS, 5))));
    }

    private CustomerRate update(CustomerRate rate, RateOwnership ownership) {
        Transition<CustomerRate, CustomerRateEffect> transition =
                rate.update(CUSTOMER, ownership, ownership.changeSince(members(PREVIOUS, SELF, OTHER)), now);
        return transition.state();
    }

    private TokenAnswer answer(CustomerRate rate) {
        return rate.answer(new TokenRequest(OTHER, CUSTOMER.name(), 1, 9, 0, Duration.ZERO), now)
                .answer();
    }

    private static MemberChange returned() {
        return members(PREVIOUS, SELF, OTHER).changeSince(members(SELF, OTHER));
    }

    private static RateOwnership members(VmName... members) {
        return new RateOwnership(SELF, Set.of(members), Map.of(), Set.of(), false);
    }

    private static List<VmName> rank(List<VmName> members) {
        return new RateOwnership(members.getFirst(), Set.copyOf(members), Map.of(), Set.of(), false)
                .holders(CUSTOMER.name(), members.size());
    }
}
