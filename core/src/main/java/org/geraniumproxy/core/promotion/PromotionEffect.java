package org.geraniumproxy.core.promotion;

import org.geraniumproxy.core.caller.BackendCommand;
import org.geraniumproxy.core.directory.PrimaryClaim;
import org.geraniumproxy.core.identity.BackendServerName;

/** Side effects that the supervision of a group requests from its adapters. */
public sealed interface PromotionEffect {
    /**
     * Sends a command and reports the status in its answer as {@link PromotionEvent.DatabaseAnswered}.
     *
     * @param database recipient
     * @param command command that is answered with a status
     * @param term term of the attempt, returned with the answer
     */
    record Ask(BackendServerName database, BackendCommand command, long term) implements PromotionEffect {}

    /**
     * Sends a command and ignores its answer.
     *
     * @param database recipient
     * @param command command to send
     */
    record Send(BackendServerName database, BackendCommand command) implements PromotionEffect {}

    /**
     * Writes a promotion intent to the store and replaces the previous one.
     *
     * @param intent intent of the group
     */
    record RecordIntent(PromotionIntent intent) implements PromotionEffect {}

    /** Obtains a greater fencing token, so that the platform refuses requests with the current one. */
    record RenewFencingToken() implements PromotionEffect {}

    /**
     * Asks the platform to promote a database.
     *
     * @param target database to promote
     */
    record RequestPromotion(BackendServerName target) implements PromotionEffect {}

    /**
     * Announces the primary to all VMs.
     *
     * @param claim new primary and its term
     */
    record AnnouncePrimary(PrimaryClaim claim) implements PromotionEffect {}

    /**
     * Logs a decision.
     *
     * @param decision text of the log line
     * @param detail key=value pairs
     */
    record Log(String decision, String detail) implements PromotionEffect {}
}
