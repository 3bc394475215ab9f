package org.geraniumproxy.core.configuration;

/** State of an apply. */
public sealed interface ApplyState {
    /** An apply that has not ended. */
    sealed interface InProgress extends ApplyState {
        /**
         * Returns the request of the apply.
         *
         * @return the configuration to apply and its base revision
         */
        ApplyRequest request();
    }

    /** An apply that has ended. No event changes its state. */
    sealed interface Terminal extends ApplyState {}

    /**
     * The manifest is being read to compare its revision with the base revision.
     *
     * @param request the request of the apply
     */
    record ReadingBase(ApplyRequest request) implements InProgress {}

    /**
     * The content is being written.
     *
     * @param request the request of the apply
     * @param base the manifest to replace
     */
    record WritingContent(ApplyRequest request, StoredManifest base) implements InProgress {}

    /**
     * The compare-and-swap was sent and its reply is pending.
     *
     * @param request the request of the apply
     * @param base the manifest to replace
     */
    record Swapping(ApplyRequest request, StoredManifest base) implements InProgress {}

    /**
     * The reply to the compare-and-swap was lost or inconclusive, and the manifest is read again to determine the
     * outcome.
     *
     * @param request the request of the apply
     * @param base the manifest to replace
     */
    record ResolvingOutcome(ApplyRequest request, StoredManifest base) implements InProgress {}

    /**
     * The store holds the new manifest.
     *
     * @param manifest the manifest that was written
     */
    record Applied(Manifest manifest) implements Terminal {}

    /**
     * Another configuration is active, and this one was not and will not be applied.
     *
     * @param baseRevision the revision that the change was based on
     * @param current the active manifest
     */
    record Conflicted(long baseRevision, Manifest current) implements Terminal {}

    /** The deadline passed before the compare-and-swap was sent. The active configuration is unchanged. */
    record NotApplied() implements Terminal {}

    /**
     * The compare-and-swap was sent, but whether it took effect could not be determined.
     *
     * @param sent the manifest that was sent
     */
    record OutcomeUnknown(Manifest sent) implements Terminal {}
}
