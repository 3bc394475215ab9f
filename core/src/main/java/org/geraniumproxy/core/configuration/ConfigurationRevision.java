package org.geraniumproxy.core.configuration;

/**
 * An applied configuration with its revision.
 *
 * @param revision number that grows by one with each applied configuration, zero before the first
 * @param applyIdentifier unique identifier of the apply that wrote it
 * @param contentDigest SHA-256 digest of the TOML text
 * @param configuration the parsed content
 */
public record ConfigurationRevision(
        long revision, String applyIdentifier, String contentDigest, Configuration configuration) {
    /** The revision before the first apply. */
    public static final ConfigurationRevision NONE = new ConfigurationRevision(0, "", "", Configuration.EMPTY);
}
