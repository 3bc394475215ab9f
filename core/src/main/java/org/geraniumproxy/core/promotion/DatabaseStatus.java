package org.geraniumproxy.core.promotion;

import org.geraniumproxy.core.identity.LogPosition;

/**
 * What a database says of itself when it is asked.
 *
 * @param primary whether it leads
 * @param term newest term that it knows
 * @param received position up to which it has received the log
 * @param stoppedTerm term with which its receiving was stopped, zero while it receives
 */
public record DatabaseStatus(boolean primary, long term, LogPosition received, long stoppedTerm) {}
