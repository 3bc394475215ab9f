package org.geraniumproxy.core.configuration;

/**
 * A manifest with the store revision that a compare-and-swap needs.
 *
 * @param storeRevision revision of the store at which the manifest was written, zero if the key is absent
 * @param manifest the manifest, {@link Manifest#NONE} if the key is absent
 */
public record StoredManifest(long storeRevision, Manifest manifest) {
    /** The result of reading a store without a manifest. */
    public static final StoredManifest ABSENT = new StoredManifest(0, Manifest.NONE);
}
