package org.geraniumproxy.core.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.geraniumproxy.core.identity.FailureDomain;
import org.geraniumproxy.core.identity.StoreRevision;
import org.geraniumproxy.core.routing.EvacuationPhase;

/**
 * The evacuated failure domains as this VM knows them. What the store said last holds while the store is unavailable.
 * Of two VMs that disagree, the one whose set is valid at the later store revision is right.
 *
 * @param rules failure domains of the deployment and the time limit of their evacuation
 * @param revision store revision at which the set was valid
 * @param since time since which each evacuation is known, possibly only assumed
 * @param assumed evacuations whose age this VM does not know but assumes to be beyond the time limit
 * @param phases progress of each evacuation at the last event
 * @param confirmedAt time of the last answer of the store, empty before the first one
 * @param reported whether other VMs are told, which is so once any evacuation was known
 */
record TrackedEvacuations(
        EvacuationRules rules,
        StoreRevision revision,
        Map<FailureDomain, Instant> since,
        Set<FailureDomain> assumed,
        Map<FailureDomain, EvacuationPhase> phases,
        Optional<Instant> confirmedAt,
        boolean reported) {
    TrackedEvacuations {
        since = Map.copyOf(since);
        assumed = Set.copyOf(assumed);
        phases = Map.copyOf(phases);
    }

    static TrackedEvacuations none(EvacuationRules rules) {
        return new TrackedEvacuations(
                rules, new StoreRevision(0, 0), Map.of(), Set.of(), Map.of(), Optional.empty(), false);
    }

    /**
     * Replaces the set by what a full read of the store returned. An order that was not known before may be as old as
     * the last answer of the store. A process that has just started knows no earlier answer and assumes that the time
     * limit is over.
     */
    TrackedEvacuations listed(FleetEvent.EvacuationsListed listed, Instant now, List<FleetEffect> effects) {
        Instant unknownSince = confirmedAt.orElse(now.minus(rules.bound()));
        Map<FailureDomain, Instant> next = new HashMap<>();
        for (FailureDomain failureDomain : listed.failureDomains()) {
            if (isKnown(failureDomain, effects)) {
                next.put(failureDomain, since.getOrDefault(failureDomain, unknownSince));
            }
        }
        Set<FailureDomain> nextAssumed = new HashSet<>(assumed);
        if (confirmedAt.isEmpty()) {
            nextAssumed.addAll(next.keySet());
            nextAssumed.removeAll(since.keySet());
        }
        return with(listed.revision(), next, nextAssumed, "store", effects).answered(now);
    }

    /** Applies changes that a watch of the store returned, except those that another VM has told before. */
    TrackedEvacuations changed(List<EvacuationChange> changes, Instant now, List<FleetEffect> effects) {
        Map<FailureDomain, Instant> next = new HashMap<>(since);
        StoreRevision newest = revision;
        for (EvacuationChange change : changes) {
            if (!change.revision().isAfter(revision) || !isKnown(change.failureDomain(), effects)) {
                continue;
            }
            newest = change.revision().isAfter(newest) ? change.revision() : newest;
            if (change.evacuated()) {
                next.putIfAbsent(change.failureDomain(), now);
            } else {
                next.remove(change.failureDomain());
            }
        }
        return with(newest, next, assumed, "store", effects).answered(now);
    }

    /**
     * Applies the set of another VM if it is valid at a later revision. If it is the same set, that VM may have learned
     * of an order earlier, because this one was suspended or its watch had gone silent.
     */
    TrackedEvacuations learn(EvacuationNotice notice, Instant now, List<FleetEffect> effects) {
        if (revision.isAfter(notice.revision())) {
            return this;
        }
        Map<FailureDomain, Instant> next = new HashMap<>();
        notice.ages().forEach((failureDomain, age) -> {
            if (isKnown(failureDomain, effects)) {
                Instant told = now.minus(age);
                Instant own = since.getOrDefault(failureDomain, told);
                next.put(failureDomain, own.isBefore(told) ? own : told);
            }
        });
        boolean sameSet = notice.revision().equals(revision);
        return sameSet && !next.keySet().equals(since.keySet())
                ? this
                : with(notice.revision(), next, assumed, "peer", effects);
    }

    /** Records that the store has answered. Whatever it doesn't report next was not ordered before. */
    TrackedEvacuations answered(Instant now) {
        return new TrackedEvacuations(rules, revision, since, assumed, phases, Optional.of(now), reported);
    }

    /** Recomputes the phases. */
    TrackedEvacuations refresh(Instant now, List<FleetEffect> effects) {
        Map<FailureDomain, EvacuationPhase> next = new HashMap<>();
        since.forEach((failureDomain, moment) -> next.put(failureDomain, rules.phase(moment, now)));
        if (next.equals(phases)) {
            return this;
        }
        next.forEach((failureDomain, phase) -> {
            if (phase != phases.get(failureDomain)) {
                effects.add(new FleetEffect.Log(
                        "evacuation phase",
                        "zone=" + failureDomain + " phase=" + phase + " previous=" + phases.get(failureDomain)
                                + " knownFor="
                                + Duration.between(since.get(failureDomain), now)
                                        .toMillis() + "ms bound="
                                + rules.bound().toMillis() + "ms"));
            }
        });
        return new TrackedEvacuations(rules, revision, since, assumed, next, confirmedAt, reported);
    }

    /**
     * Returns what the other VMs are told, empty if this VM has never known of an evacuation. An assumed age is told as
     * zero, so that it doesn't close the failure domain for VMs that know the age.
     */
    Optional<EvacuationNotice> notice(Instant now) {
        Map<FailureDomain, Duration> ages = new HashMap<>();
        since.forEach((failureDomain, moment) -> ages.put(
                failureDomain, assumed.contains(failureDomain) ? Duration.ZERO : Duration.between(moment, now)));
        return reported ? Optional.of(new EvacuationNotice(revision, ages)) : Optional.empty();
    }

    /** Returns the state without what changes with each answer of the store. */
    TrackedEvacuations withoutConfirmation() {
        return new TrackedEvacuations(rules, revision, since, assumed, phases, Optional.empty(), reported);
    }

    private boolean isKnown(FailureDomain failureDomain, List<FleetEffect> effects) {
        boolean known = rules.regions().containsKey(failureDomain);
        if (!known) {
            effects.add(new FleetEffect.Log(
                    "evacuation ignored",
                    "key=\"op/evacuate/" + failureDomain
                            + "\" reason=\"the settings name no such failure domain\" known="
                            + rules.regions().keySet().stream().sorted().toList()));
        }
        return known;
    }

    private TrackedEvacuations with(
            StoreRevision newest,
            Map<FailureDomain, Instant> next,
            Set<FailureDomain> nextAssumed,
            String source,
            List<FleetEffect> effects) {
        Set<FailureDomain> remaining = new HashSet<>(nextAssumed);
        remaining.retainAll(next.keySet());
        Set<FailureDomain> before = since.keySet();
        next.keySet().stream()
                .filter(failureDomain -> !before.contains(failureDomain))
                .sorted()
                .forEach(failureDomain -> log("failure domain evacuated", failureDomain, newest, source, effects));
        before.stream()
                .filter(failureDomain -> !next.containsKey(failureDomain))
                .sorted()
                .forEach(failureDomain -> log("evacuation ended", failureDomain, newest, source, effects));
        return new TrackedEvacuations(rules, newest, next, remaining, phases, confirmedAt, reported || !next.isEmpty());
    }

    private static void log(
            String change,
            FailureDomain failureDomain,
            StoreRevision revision,
            String source,
            List<FleetEffect> effects) {
        effects.add(
                new FleetEffect.Log(change, "zone=" + failureDomain + " revision=" + revision + " source=" + source));
    }
}
