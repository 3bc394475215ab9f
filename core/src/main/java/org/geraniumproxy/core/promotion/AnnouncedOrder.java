package org.geraniumproxy.core.promotion;

import org.geraniumproxy.core.identity.BackendServerName;

/**
 * A promotion that was announced in the store before it was ordered. An order without an answer may still be carried
 * out, so the next holder of the duty repeats it before it looks for a choice of its own.
 *
 * @param target the database
 * @param term term that stopped the replicas
 * @param done whether the order was answered
 */
public record AnnouncedOrder(BackendServerName target, long term, boolean done) {}
