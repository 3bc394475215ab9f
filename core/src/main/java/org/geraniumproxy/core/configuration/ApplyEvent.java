package org.geraniumproxy.core.configuration;

/** Input of an apply. Events may be late, duplicated or out of order. */
public sealed interface ApplyEvent {
    /**
     * The manifest was read.
     *
     * @param current the manifest at the time of the read
     */
    record ManifestRead(StoredManifest current) implements ApplyEvent {}

    /** The store holds the content under its digest. */
    record ContentWritten() implements ApplyEvent {}

    /** The compare-and-swap replaced the manifest. */
    record SwapSucceeded() implements ApplyEvent {}

    /**
     * The compare-and-swap failed because the manifest was not the expected one.
     *
     * @param current the manifest that the store holds instead
     */
    record SwapConflicted(StoredManifest current) implements ApplyEvent {}

    /** A call ended without a reply and may or may not have taken effect. */
    record ReplyLost() implements ApplyEvent {}

    /** The deadline of the apply has passed. */
    record DeadlineReached() implements ApplyEvent {}
}
