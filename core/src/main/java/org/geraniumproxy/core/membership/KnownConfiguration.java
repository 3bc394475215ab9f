package org.geraniumproxy.core.membership;

import org.geraniumproxy.core.configuration.ConfigurationRevision;

/**
 * A configuration and its TOML source, which is passed on to peers.
 *
 * @param revision the configuration and its revision
 * @param text TOML source
 */
public record KnownConfiguration(ConfigurationRevision revision, String text) {
    /** Placeholder before the first configuration is known. */
    public static final KnownConfiguration NONE = new KnownConfiguration(ConfigurationRevision.NONE, "");

    /**
     * Returns the revision number.
     *
     * @return zero for {@link #NONE}
     */
    public long number() {
        return revision.revision();
    }
}
