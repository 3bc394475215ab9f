package org.geraniumproxy.core.membership;

import org.geraniumproxy.core.configuration.ConfigurationRevision;

/**
 * A configuration together with the TOML text that it was read from, which is passed on to peers.
 *
 * @param revision the configuration and its revision
 * @param text the TOML text
 */
public record KnownConfiguration(ConfigurationRevision revision, String text) {
    /** What a process knows before it has learned a configuration. */
    public static final KnownConfiguration NONE = new KnownConfiguration(ConfigurationRevision.NONE, "");

    /**
     * Returns the number of the revision.
     *
     * @return the number, zero for none
     */
    public long number() {
        return revision.revision();
    }
}
