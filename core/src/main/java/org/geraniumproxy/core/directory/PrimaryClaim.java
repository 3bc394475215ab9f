package org.geraniumproxy.core.directory;

import org.geraniumproxy.core.identity.BackendServerName;

/**
 * The primary of a group as learned from an accepted promotion request or from a database.
 *
 * @param database primary of the group
 * @param term term of the primary; a claim with a greater term replaces one with a smaller term
 */
public record PrimaryClaim(BackendServerName database, long term) {}
