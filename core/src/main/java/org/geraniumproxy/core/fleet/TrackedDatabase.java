package org.geraniumproxy.core.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.geraniumproxy.core.directory.DatabaseAvailability;
import org.geraniumproxy.core.directory.DatabaseEntry;

/**
 * A database with its last store entry and the times since which the entry has been missing or draining.
 *
 * @param entry last entry read from the store
 * @param availability whether the database may get statements and confirm commits
 * @param missingSince time at which the entry was found missing in the store
 * @param drainingSince time at which the entry was first seen draining
 * @param restartedAt time at which this VM saw that the database had restarted
 */
record TrackedDatabase(
        DatabaseEntry entry,
        DatabaseAvailability availability,
        Optional<Instant> missingSince,
        Optional<Instant> drainingSince,
        Optional<Instant> restartedAt) {
    /** Grace period of a replica. Entries that expired during a store outage return within 2 s of its end. */
    static final Duration MISSING_REPLICA_GRACE_PERIOD = Duration.ofMillis(2500);

    /**
     * Grace period of a primary, which may only have lost its connection to the store. It stays in use until it is
     * replaced or this time has elapsed.
     */
    static final Duration MISSING_PRIMARY_GRACE_PERIOD = Duration.ofSeconds(5);

    /**
     * Time after the grace period during which a promotion still queries a database without an entry. Longer partitions
     * from the store are rare, and the address may have been reassigned to another database.
     */
    static final Duration SUSPICION_TIMEOUT = Duration.ofSeconds(20);

    static TrackedDatabase of(DatabaseEntry entry, FleetTiming timing, Instant now) {
        Optional<Instant> draining = entry.draining() ? Optional.of(assumedDrainStart(timing, now)) : Optional.empty();
        return new TrackedDatabase(entry, DatabaseAvailability.USED, Optional.empty(), draining, Optional.empty());
    }

    /**
     * A process that has just started doesn't know when the drain began, so it assumes that half of the period is over.
     */
    private static Instant assumedDrainStart(FleetTiming timing, Instant now) {
        return now.minus(timing.drainGracePeriod().dividedBy(2));
    }

    TrackedDatabase updated(DatabaseEntry newest, Instant now) {
        Optional<Instant> draining = drainingSince.isPresent() ? drainingSince : Optional.of(now);
        boolean restarted = newest.startedAtMilliseconds() != entry.startedAtMilliseconds();
        return new TrackedDatabase(
                newest,
                availability,
                Optional.empty(),
                newest.draining() ? draining : Optional.empty(),
                restarted ? Optional.of(now) : restartedAt);
    }

    /**
     * Returns whether an entry comes from an earlier copy of the store and differs from what the database has written
     * since. The database writes it again.
     */
    boolean isOutdatedCopy(DatabaseEntry read) {
        return read.revision().era() > entry.revision().era()
                && read.isWrittenBefore(entry)
                && !read.hasSameContentAs(entry);
    }

    TrackedDatabase markMissing(Instant now) {
        return missingSince.isPresent()
                ? this
                : new TrackedDatabase(entry, availability, Optional.of(now), drainingSince, restartedAt);
    }

    /**
     * Recomputes the availability.
     *
     * @param evacuated whether the evacuation of the failure domain ends the use of this database
     */
    TrackedDatabase refresh(FleetTiming timing, boolean evacuated, Instant now) {
        DatabaseAvailability current = availabilityAt(timing, evacuated, now);
        return current == availability
                ? this
                : new TrackedDatabase(entry, current, missingSince, drainingSince, restartedAt);
    }

    /** Returns whether neither the availability has changed nor the database is forgotten. */
    boolean isCurrent(FleetTiming timing, boolean evacuated, Instant now) {
        return availabilityAt(timing, evacuated, now) == availability && !isExpired(now);
    }

    boolean isExpired(Instant now) {
        return hasElapsed(missingSince, missingGracePeriod().plus(SUSPICION_TIMEOUT), now);
    }

    boolean isRecentlyRestarted(FleetTiming timing, Instant now) {
        return restartedAt.isPresent() && !hasElapsed(restartedAt, timing.catchUpTime(), now);
    }

    private DatabaseAvailability availabilityAt(FleetTiming timing, boolean evacuated, Instant now) {
        if (hasElapsed(missingSince, missingGracePeriod(), now)) {
            return DatabaseAvailability.GONE;
        }
        if (evacuated) {
            return DatabaseAvailability.EVACUATED;
        }
        return hasElapsed(drainingSince, timing.drainGracePeriod(), now)
                ? DatabaseAvailability.LEFT
                : DatabaseAvailability.USED;
    }

    private Duration missingGracePeriod() {
        return entry.primary() ? MISSING_PRIMARY_GRACE_PERIOD : MISSING_REPLICA_GRACE_PERIOD;
    }

    private static boolean hasElapsed(Optional<Instant> since, Duration duration, Instant now) {
        return since.map(moment -> Duration.between(moment, now).compareTo(duration) > 0)
                .orElse(false);
    }
}
