package org.geraniumproxy.core.promotion;

import org.geraniumproxy.core.caller.BackendCommand;
import org.geraniumproxy.core.directory.PrimaryClaim;
import org.geraniumproxy.core.identity.BackendServerName;

/** What an adapter carries out for the supervision of a group. */
public sealed interface PromotionEffect {
    /**
     * Send a command whose answer is a state.
     *
     * @param database the database
     * @param command the command
     * @param term term of the attempt
     */
    record Ask(BackendServerName database, BackendCommand command, long term) implements PromotionEffect {}

    /**
     * Send a command whose answer does not matter.
     *
     * @param database the database
     * @param command the command
     */
    record Send(BackendServerName database, BackendCommand command) implements PromotionEffect {}

    /**
     * Write an order to the store, replacing the one before.
     *
     * @param intent the order
     */
    record RecordIntent(PromotionIntent intent) implements PromotionEffect {}

    /** Get a greater fencing token, so that orders with the present one are refused. */
    record RenewFencingToken() implements PromotionEffect {}

    /**
     * Order the platform to promote.
     *
     * @param target the database
     */
    record RequestPromotion(BackendServerName target) implements PromotionEffect {}

    /**
     * Tell all VMs who leads.
     *
     * @param claim the new primary
     */
    record AnnouncePrimary(PrimaryClaim claim) implements PromotionEffect {}

    /**
     * Write a decision to the log.
     *
     * @param decision what was decided
     * @param detail its inputs
     */
    record Log(String decision, String detail) implements PromotionEffect {}
}
