package org.geraniumproxy.core.configuration;

/** What an apply learns from the store. Events may be late, repeated or out of order. */
public sealed interface ApplyEvent {
    /**
     * The manifest was read.
     *
     * @param current the manifest that the store held
     */
    record ManifestRead(StoredManifest current) implements ApplyEvent {}

    /** The store holds the content under its digest. */
    record ContentWritten() implements ApplyEvent {}

    /** The compare-and-swap of the manifest took effect. */
    record SwapSucceeded() implements ApplyEvent {}

    /**
     * The compare-and-swap found another manifest than expected.
     *
     * @param current the manifest that the store held
     */
    record SwapConflicted(StoredManifest current) implements ApplyEvent {}

    /** A call ended without a reply, so that it may or may not have taken effect. */
    record ReplyLost() implements ApplyEvent {}

    /** The time of the apply is over. */
    record DeadlineReached() implements ApplyEvent {}
}
