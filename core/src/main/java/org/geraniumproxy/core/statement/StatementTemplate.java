package org.geraniumproxy.core.statement;

/**
 * Content of a prepared statement. Callers that prepare equal templates share one prepared statement per connection.
 *
 * @param write whether the statement writes
 * @param text the statement text without the arguments, in the syntax of the databases
 */
public record StatementTemplate(boolean write, String text) {}
