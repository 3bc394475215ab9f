package org.geraniumproxy.core.statement;

/**
 * What a prepared statement does. Two callers that prepare the same shape may share one prepared statement of a
 * connection.
 *
 * @param write whether it writes
 * @param text the shape in the language of the databases
 */
public record StatementTemplate(boolean write, String text) {}
