package org.geraniumproxy.core.configuration;

/**
 * An operator's request to activate a configuration.
 *
 * @param applyIdentifier unique identifier of this apply
 * @param baseRevision active revision that the change is based on, zero for the first configuration
 * @param contentDigest SHA-256 digest of the TOML text, as 64 lower-case hexadecimal digits
 */
public record ApplyRequest(String applyIdentifier, long baseRevision, String contentDigest) {
    /**
     * Validates the request.
     *
     * @throws IllegalArgumentException if the identifier is empty, the revision negative or the digest malformed
     */
    public ApplyRequest {
        if (applyIdentifier.isEmpty() || baseRevision < 0 || !KeyDigest.isValid(contentDigest)) {
            throw new IllegalArgumentException(
                    "apply request needs an identifier, a base revision of at least zero and a valid content digest");
        }
    }

    /**
     * Returns the manifest that the apply writes.
     *
     * @return the manifest, whose revision is the base revision plus one
     */
    public Manifest manifest() {
        return new Manifest(baseRevision + 1, applyIdentifier, contentDigest);
    }
}
