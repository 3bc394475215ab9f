package org.geraniumproxy.core.configuration;

/**
 * The record of the active configuration in the store. The configuration text is stored separately, under its digest.
 *
 * @param revision number that grows by one with each applied configuration, zero before the first
 * @param applyIdentifier unique identifier of the apply that wrote it
 * @param contentDigest SHA-256 digest of the TOML text
 */
public record Manifest(long revision, String applyIdentifier, String contentDigest) {
    /** The manifest before the first apply. */
    public static final Manifest NONE = new Manifest(0, "", "");

    /**
     * Validates the manifest.
     *
     * @throws IllegalArgumentException if the revision is negative, or only some of the values are present
     */
    public Manifest {
        boolean isNone = revision == 0 && applyIdentifier.isEmpty() && contentDigest.isEmpty();
        boolean isComplete = revision > 0 && !applyIdentifier.isEmpty() && KeyDigest.isValid(contentDigest);
        if (!isNone && !isComplete) {
            throw new IllegalArgumentException(
                    "manifest needs a revision above zero, an apply identifier and a content digest");
        }
    }
}
