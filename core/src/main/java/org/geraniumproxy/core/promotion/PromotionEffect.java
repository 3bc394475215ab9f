package org.geraniumproxy.core.promotion;

import java.time.Duration;
import java.util.Optional;
import org.geraniumproxy.core.caller.BackendCommand;
import org.geraniumproxy.core.directory.PrimaryClaim;
import org.geraniumproxy.core.identity.BackendServerName;

/** Side effects that the supervision of a group requests from its adapters. */
public sealed interface PromotionEffect {
    /**
     * Sends a command and reports its result as {@link PromotionEvent.CommandCompleted}.
     *
     * @param database recipient
     * @param command command that is answered with a status
     * @param attempt attempt to which the command belongs, or empty if it belongs to none
     */
    record SendCommand(BackendServerName database, BackendCommand command, Optional<AttemptId> attempt)
            implements PromotionEffect {}

    /**
     * Replaces the promotion intent in the store, unless it has changed or this VM no longer holds the lease.
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
     * @param attempt attempt that chose the database
     * @param age time since the attempt began
     * @param repeated whether an earlier request of the same attempt got no answer
     */
    record RequestPromotion(BackendServerName target, AttemptId attempt, Duration age, boolean repeated)
            implements PromotionEffect {}

    /**
     * Announces the primary to all VMs.
     *
     * @param claim new primary and its term
     */
    record AnnouncePrimary(PrimaryClaim claim) implements PromotionEffect {}

    /**
     * Reports that an attempt ended without a promotion.
     *
     * @param attempt the attempt
     * @param reason missing evidence
     */
    record Postpone(AttemptId attempt, String reason) implements PromotionEffect {}

    /**
     * Logs a decision.
     *
     * @param decision text of the log line
     * @param detail key=value pairs
     */
    record Log(String decision, String detail) implements PromotionEffect {}
}
