package org.geraniumproxy.core.promotion;

import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.geraniumproxy.core.identity.BackendServerName;

/** How far a promotion has come. */
sealed interface PromotionPhase {
    /**
     * Nothing is to be done, or not before a moment.
     *
     * @param notBefore moment of the next attempt
     * @param noPrimarySince moment since which no database leads
     * @param resumption replicas that may still be stopped
     */
    record Watching(Instant notBefore, Optional<Instant> noPrimarySince, Resumption resumption)
            implements PromotionPhase {}

    /**
     * Databases are asked to stop.
     *
     * @param attempt what the attempt is about
     * @param pending databases that have not answered
     * @param stopped states of those that have stopped
     */
    record Stopping(Attempt attempt, Set<BackendServerName> pending, Map<BackendServerName, DatabaseStatus> stopped)
            implements PromotionPhase {
        /** Copies the collections. */
        public Stopping {
            pending = Set.copyOf(pending);
            stopped = Map.copyOf(stopped);
        }
    }

    /**
     * Stopped databases are asked again just before the order, because one that started again receives.
     *
     * @param attempt what the attempt is about
     * @param pending databases that have not answered
     * @param stopped states when they stopped
     * @param target the choice
     */
    record Verifying(
            Attempt attempt,
            Set<BackendServerName> pending,
            Map<BackendServerName, DatabaseStatus> stopped,
            BackendServerName target)
            implements PromotionPhase {
        /** Copies the collections. */
        public Verifying {
            pending = Set.copyOf(pending);
            stopped = Map.copyOf(stopped);
        }
    }

    /**
     * The order is being announced.
     *
     * @param attempt what the attempt is about
     * @param target the choice
     */
    record RecordingIntent(Attempt attempt, BackendServerName target) implements PromotionPhase {}

    /**
     * A greater token is fetched before the announcement, because a copy of an earlier order may still be carried out.
     *
     * @param attempt what the attempt is about
     * @param target the choice
     */
    record RenewingToken(Attempt attempt, BackendServerName target) implements PromotionPhase {}

    /**
     * The order is sent until it is answered.
     *
     * @param attempt what the attempt is about
     * @param target the choice
     * @param retryAt moment at which it is sent again; empty while an answer is awaited
     * @param unansweredAt moment at which it was last found without an answer
     */
    record Requesting(
            Attempt attempt, BackendServerName target, Optional<Instant> retryAt, Optional<Instant> unansweredAt)
            implements PromotionPhase {}

    /**
     * An attempt to replace a primary.
     *
     * @param term term that stops the databases
     * @param snapshot the group when the attempt began
     * @param startedAt its beginning
     */
    record Attempt(long term, GroupSnapshot snapshot, Instant startedAt) {}
}
