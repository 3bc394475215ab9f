package org.geraniumproxy.core.fleet;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.geraniumproxy.core.directory.PrimaryClaim;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.FailureDomain;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.LogPosition;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.promotion.PromotionIntent;

/**
 * State that a VM sends to other VMs at regular intervals. Each message is complete, so the next one makes up for a
 * lost one. A heartbeat is a message without the state of the groups.
 *
 * @param sender VM that sent the message
 * @param configurationVersion newest configuration version that the sender knows
 * @param registered whether the store confirmed the sender's registration so recently that it cannot have expired
 * @param failingFor databases that don't answer the sender, with the time since the first failure
 * @param commitsFailingFor databases that acknowledge no commit to the sender, with the time since the first failure
 * @param newestTerms newest term of each group that a primary reported to the sender
 * @param acknowledged last acknowledged position of each group that the sender knows
 * @param claims newest primary claim of each group that the sender knows
 * @param promotions promotions of groups that may be in progress
 * @param evacuations evacuated failure domains, empty if the sender has never known of one
 */
public record PeerMessage(
        VmName sender,
        long configurationVersion,
        boolean registered,
        Map<BackendServerName, Duration> failingFor,
        Map<BackendServerName, Duration> commitsFailingFor,
        Map<GroupName, Long> newestTerms,
        Map<GroupName, LogPosition> acknowledged,
        Map<GroupName, PrimaryClaim> claims,
        Map<GroupName, PromotionNotice> promotions,
        Optional<EvacuationNotice> evacuations) {
    /** Copies the maps. */
    public PeerMessage {
        failingFor = Map.copyOf(failingFor);
        commitsFailingFor = Map.copyOf(commitsFailingFor);
        newestTerms = Map.copyOf(newestTerms);
        acknowledged = Map.copyOf(acknowledged);
        claims = Map.copyOf(claims);
        promotions = Map.copyOf(promotions);
    }

    /**
     * Creates a message of a VM that has never known of an evacuation.
     *
     * @param sender VM that sent the message
     * @param configurationVersion newest configuration version that the sender knows
     * @param registered whether the store confirmed the sender's registration so recently that it cannot have expired
     * @param failingFor databases that don't answer the sender, with the time since the first failure
     * @param commitsFailingFor databases that acknowledge no commit, with the time since the first failure
     * @param newestTerms newest term of each group that a primary reported to the sender
     * @param acknowledged last acknowledged position of each group that the sender knows
     * @param claims newest primary claim of each group that the sender knows
     * @param promotions promotions of groups that may be in progress
     */
    public PeerMessage(
            VmName sender,
            long configurationVersion,
            boolean registered,
            Map<BackendServerName, Duration> failingFor,
            Map<BackendServerName, Duration> commitsFailingFor,
            Map<GroupName, Long> newestTerms,
            Map<GroupName, LogPosition> acknowledged,
            Map<GroupName, PrimaryClaim> claims,
            Map<GroupName, PromotionNotice> promotions) {
        this(
                sender,
                configurationVersion,
                registered,
                failingFor,
                commitsFailingFor,
                newestTerms,
                acknowledged,
                claims,
                promotions,
                Optional.empty());
    }

    /** Returns an empty message, which stands for the last sent one at process start. */
    static PeerMessage initial(VmName sender) {
        return new PeerMessage(sender, 0, false, Map.of(), Map.of(), Map.of(), Map.of(), Map.of(), Map.of());
    }

    /** Returns the message without the state of the groups, with the claims only if they are new. */
    PeerMessage toHeartbeat(boolean withClaims) {
        return new PeerMessage(
                sender,
                configurationVersion,
                registered,
                Map.of(),
                Map.of(),
                Map.of(),
                Map.of(),
                withClaims ? claims : Map.of(),
                promotions,
                evacuations);
    }

    /** Returns whether both messages have the same configuration version, registration and evacuations. */
    boolean hasSameHeaderAs(PeerMessage other) {
        return configurationVersion == other.configurationVersion
                && registered == other.registered
                && evacuated().equals(other.evacuated());
    }

    private Set<FailureDomain> evacuated() {
        return evacuations.map(notice -> notice.ages().keySet()).orElse(Set.of());
    }

    /** Returns whether a promotion of which the recipients may wait for a confirmation may take effect. */
    boolean reportsOpenPromotion() {
        return promotions.values().stream()
                .anyMatch(notice -> notice.intent().progress() == PromotionIntent.Progress.OPEN);
    }

    /** Returns whether the sender enforces a promotion. */
    boolean enforces(GroupName group, String promotion) {
        PromotionNotice notice = promotions.get(group);
        return notice != null
                && notice.enforced()
                && notice.intent().fence().promotion().equals(promotion);
    }

    /** Returns whether any database fails for the sender. */
    boolean reportsFailures() {
        return !failingFor.isEmpty() || !commitsFailingFor.isEmpty();
    }

    /** Returns whether this message could change a decision of its recipients compared with an earlier one. */
    boolean hasSignificantChangeSince(PeerMessage earlier) {
        return !hasSameHeaderAs(earlier)
                || !claims.equals(earlier.claims)
                || !promotions.equals(earlier.promotions)
                || !failingFor.keySet().equals(earlier.failingFor.keySet())
                || !commitsFailingFor.keySet().equals(earlier.commitsFailingFor.keySet());
    }
}
