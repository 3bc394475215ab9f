package org.geraniumproxy.core.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.geraniumproxy.core.directory.DatabaseAvailability;
import org.geraniumproxy.core.directory.DatabaseEntry;
import org.geraniumproxy.core.directory.RecordedMember;

/**
 * A database with its last store entry and the times since which the entry has been missing or draining.
 *
 * @param entry last entry read from the store
 * @param availability whether the database may get statements and confirm commits
 * @param missingSince time at which the entry was found missing in the store
 * @param drainingSince time at which the entry was first seen draining
 * @param restartedAt time at which this VM saw that the database had restarted
 * @param source where the entry comes from
 */
record TrackedDatabase(
        DatabaseEntry entry,
        DatabaseAvailability availability,
        Optional<Instant> missingSince,
        Optional<Instant> drainingSince,
        Optional<Instant> restartedAt,
        Source source) {
    /** Where the last entry of a database comes from. */
    enum Source {
        /** The database wrote the entry, and this process has read it. */
        STORE_ENTRY,
        /**
         * The entry has expired long ago, or before this process started; the record of the group names the database.
         */
        GROUP_RECORD
    }

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
        return new TrackedDatabase(
                entry, DatabaseAvailability.USED, Optional.empty(), draining, Optional.empty(), Source.STORE_ENTRY);
    }

    /** Creates a database without an entry that the record of its group names. */
    static TrackedDatabase recorded(DatabaseEntry entry, Instant now) {
        return new TrackedDatabase(
                entry,
                DatabaseAvailability.GONE,
                Optional.of(now),
                Optional.empty(),
                Optional.empty(),
                Source.GROUP_RECORD);
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
                restarted ? Optional.of(now) : restartedAt,
                Source.STORE_ENTRY);
    }

    /** Returns the database as one of which only the record of its group is evidence. */
    TrackedDatabase withRecordOnly() {
        return new TrackedDatabase(entry, availability, missingSince, drainingSince, restartedAt, Source.GROUP_RECORD);
    }

    boolean isRecordedOnly() {
        return source == Source.GROUP_RECORD;
    }

    /** Returns whether the record of the group shows a restart that this process hasn't seen. */
    boolean hasUnseenRestart(RecordedMember member) {
        return source == Source.STORE_ENTRY
                && restartedAt.isEmpty()
                && member.startedAtMilliseconds() != entry.startedAtMilliseconds();
    }

    TrackedDatabase withRestart(Instant now) {
        return new TrackedDatabase(entry, availability, missingSince, drainingSince, Optional.of(now), source);
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
                : new TrackedDatabase(entry, availability, Optional.of(now), drainingSince, restartedAt, source);
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
                : new TrackedDatabase(entry, current, missingSince, drainingSince, restartedAt, source);
    }

    boolean hasCurrentAvailability(FleetTiming timing, boolean evacuated, Instant now) {
        return availabilityAt(timing, evacuated, now) == availability;
    }

    /** Returns whether the database can't confirm a commit any more: it has left, or its entry is missing for long. */
    boolean hasEnded(Instant now) {
        return availability == DatabaseAvailability.GONE && (drainingSince.isPresent() || isExpired(now));
    }

    boolean isExpired(Instant now) {
        return hasElapsed(missingSince, missingGracePeriod().plus(SUSPICION_TIMEOUT), now);
    }

    boolean isRecentlyRestarted(FleetTiming timing, Instant now) {
        return restartedAt.isPresent() && !hasElapsed(restartedAt, timing.catchUpTime(), now);
    }

    private DatabaseAvailability availabilityAt(FleetTiming timing, boolean evacuated, Instant now) {
        if (isRecordedOnly() || hasElapsed(missingSince, missingGracePeriod(), now)) {
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
