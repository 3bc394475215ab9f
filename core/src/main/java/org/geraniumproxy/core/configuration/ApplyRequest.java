package org.geraniumproxy.core.configuration;

/**
 * An operator's wish to put a configuration in force.
 *
 * @param applyIdentifier unique identifier of this apply
 * @param baseRevision revision that the operator based the change on, zero for the first configuration
 * @param contentDigest SHA-256 digest of the TOML text
 */
public record ApplyRequest(String applyIdentifier, long baseRevision, String contentDigest) {
    /**
     * Validates the request.
     *
     * @throws IllegalArgumentException if the identifier is missing, the revision negative or the digest invalid
     */
    public ApplyRequest {
        if (applyIdentifier.isEmpty() || baseRevision < 0 || !KeyDigest.isValid(contentDigest)) {
            throw new IllegalArgumentException(
                    "an apply needs an identifier, a base revision of at least zero and a content digest");
        }
    }

    /**
     * Returns the manifest that the apply writes.
     *
     * @return the manifest with the revision after the base
     */
    public Manifest manifest() {
        return new Manifest(baseRevision + 1, applyIdentifier, contentDigest);
    }
}
