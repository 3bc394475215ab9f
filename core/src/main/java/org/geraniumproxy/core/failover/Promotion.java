package org.geraniumproxy.core.failover;

import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.Term;

/** Current step of a promotion by this VM. */
public sealed interface Promotion {
    /** No promotion is in progress. */
    record Idle() implements Promotion {}

    /**
     * Switchover: new writes are blocked until a replica has the complete log of the leaving primary.
     *
     * @param startedAt time at which the step began
     */
    record Draining(Instant startedAt) implements Promotion {}

    /**
     * The promotion is being announced in the group record.
     *
     * @param term the term
     * @param startedAt time at which the step began
     */
    record Announcing(Term term, Instant startedAt) implements Promotion {}

    /**
     * The databases are being fenced.
     *
     * @param term the term
     * @param startedAt time at which the step began
     * @param sentAt time at which fence commands were last sent
     * @param fenced status of each fenced database after its fence
     * @param majorityAt time at which a majority was fenced, empty before
     */
    record Fencing(
            Term term,
            Instant startedAt,
            Instant sentAt,
            Map<BackendServerName, BackendStatus> fenced,
            Optional<Instant> majorityAt)
            implements Promotion {
        /** Makes the map immutable. */
        public Fencing {
            fenced = Map.copyOf(fenced);
        }
    }

    /**
     * The selected database is being promoted.
     *
     * @param term the term
     * @param candidate status of the selected database after its fence
     * @param startedAt time at which the step began
     * @param sentAt time at which the promote command was last sent
     */
    record Promoting(Term term, BackendStatus candidate, Instant startedAt, Instant sentAt) implements Promotion {}
}
