package org.geraniumproxy.core.promotion;

import org.geraniumproxy.core.identity.LogPosition;

/**
 * Answer of a database to a status query.
 *
 * @param primary whether the database is the primary
 * @param term newest term that the database knows
 * @param received last received log position
 * @param stoppedTerm term with which replication was stopped, zero while the database receives the log
 */
public record DatabaseStatus(boolean primary, long term, LogPosition received, long stoppedTerm) {}
