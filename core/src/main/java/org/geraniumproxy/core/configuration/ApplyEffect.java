package org.geraniumproxy.core.configuration;

/** Request of an apply to the store. */
public sealed interface ApplyEffect {
    /** Reads the manifest. */
    record ReadManifest() implements ApplyEffect {}

    /**
     * Writes the content under its digest. The write is idempotent.
     *
     * @param contentDigest SHA-256 digest of the content
     */
    record WriteContent(String contentDigest) implements ApplyEffect {}

    /**
     * Replaces the manifest by compare-and-swap.
     *
     * @param expectedStoreRevision store revision at which the current manifest was written, zero if there is none
     * @param manifest the new manifest
     */
    record SwapManifest(long expectedStoreRevision, Manifest manifest) implements ApplyEffect {}

    /**
     * Runs another effect after a delay, because a call failed or its reply did not determine the outcome.
     *
     * @param effect the effect to run
     */
    record Delayed(ApplyEffect effect) implements ApplyEffect {}
}
