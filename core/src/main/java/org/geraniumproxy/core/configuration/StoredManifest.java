package org.geraniumproxy.core.configuration;

/**
 * A manifest as it was read from the store.
 *
 * @param storeRevision revision of the store at which it was written, zero if the key is absent
 * @param manifest the manifest
 */
public record StoredManifest(long storeRevision, Manifest manifest) {
    /** The state of a store to which no configuration has been applied. */
    public static final StoredManifest ABSENT = new StoredManifest(0, Manifest.NONE);
}
