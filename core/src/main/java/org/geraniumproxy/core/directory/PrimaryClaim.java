package org.geraniumproxy.core.directory;

import org.geraniumproxy.core.identity.BackendServerName;

/**
 * The primary of a group as one VM learned it from the answer to a promotion order or from a database.
 *
 * @param database the database
 * @param term term that it leads; a greater term replaces a smaller one
 */
public record PrimaryClaim(BackendServerName database, long term) {}
