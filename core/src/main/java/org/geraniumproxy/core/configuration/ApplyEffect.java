package org.geraniumproxy.core.configuration;

/** What an apply asks of the store. */
public sealed interface ApplyEffect {
    /** Read the manifest. */
    record ReadManifest() implements ApplyEffect {}

    /**
     * Write the content under its digest. Writing it twice does no harm.
     *
     * @param contentDigest the digest of the content
     */
    record WriteContent(String contentDigest) implements ApplyEffect {}

    /**
     * Replace the manifest by compare-and-swap.
     *
     * @param expectedStoreRevision revision of the store at which the current manifest must have been written
     * @param manifest the new manifest
     */
    record SwapManifest(long expectedStoreRevision, Manifest manifest) implements ApplyEffect {}

    /**
     * Start another effect after a pause, because a call has failed or its answer has not settled anything.
     *
     * @param effect the effect to start
     */
    record Delayed(ApplyEffect effect) implements ApplyEffect {}
}
