package org.geraniumproxy.core.failover;

import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.Term;

/** Step of a promotion by this supervisor. */
public sealed interface Promotion {
    /** No promotion is going on. */
    record Idle() implements Promotion {}

    /**
     * New writes are held back until a replica has the whole log of the leaving primary.
     *
     * @param startedAt beginning of the step
     */
    record Draining(Instant startedAt) implements Promotion {}

    /**
     * The store is being told.
     *
     * @param term the term
     * @param startedAt beginning of the step
     */
    record Announcing(Term term, Instant startedAt) implements Promotion {}

    /**
     * The databases are being fenced.
     *
     * @param term the term
     * @param startedAt beginning of the step
     * @param sentAt moment at which the fences were last sent
     * @param fenced status of each fenced database after the fence
     * @param majorityAt moment at which a majority was fenced
     */
    record Fencing(
            Term term,
            Instant startedAt,
            Instant sentAt,
            Map<BackendServerName, BackendStatus> fenced,
            Optional<Instant> majorityAt)
            implements Promotion {
        /** Copies the map. */
        public Fencing {
            fenced = Map.copyOf(fenced);
        }
    }

    /**
     * The chosen database is being promoted.
     *
     * @param term the term
     * @param candidate its status after the fence
     * @param startedAt beginning of the step
     * @param sentAt moment at which the promotion was last sent
     */
    record Promoting(Term term, BackendStatus candidate, Instant startedAt, Instant sentAt) implements Promotion {}
}
