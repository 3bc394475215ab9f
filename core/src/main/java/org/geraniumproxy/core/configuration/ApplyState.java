package org.geraniumproxy.core.configuration;

/** Progress of an apply. */
public sealed interface ApplyState {
    /** An apply that can still change. */
    sealed interface InProgress extends ApplyState {
        /**
         * Returns the request of the apply.
         *
         * @return the request
         */
        ApplyRequest request();
    }

    /** An apply that has ended. No event changes it. */
    sealed interface Terminal extends ApplyState {}

    /**
     * The manifest is read to compare its revision with the base.
     *
     * @param request the request
     */
    record ReadingBase(ApplyRequest request) implements InProgress {}

    /**
     * The content is written.
     *
     * @param request the request
     * @param base the manifest that will be replaced
     */
    record WritingContent(ApplyRequest request, StoredManifest base) implements InProgress {}

    /**
     * The compare-and-swap was sent and its reply is awaited.
     *
     * @param request the request
     * @param base the manifest that is being replaced
     */
    record Swapping(ApplyRequest request, StoredManifest base) implements InProgress {}

    /**
     * The reply to the compare-and-swap was lost, and the manifest is read back.
     *
     * @param request the request
     * @param base the manifest that is being replaced
     */
    record ResolvingOutcome(ApplyRequest request, StoredManifest base) implements InProgress {}

    /**
     * The configuration is accepted.
     *
     * @param manifest the manifest that was written
     */
    record Applied(Manifest manifest) implements Terminal {}

    /**
     * Another operator's configuration is in force, and this one was not and will not be applied.
     *
     * @param baseRevision the revision that the change was based on
     * @param current the manifest in force
     */
    record Conflicted(long baseRevision, Manifest current) implements Terminal {}

    /** The store could not be reached before anything was changed. */
    record NotApplied() implements Terminal {}

    /**
     * The compare-and-swap was sent, and it could not be determined whether it took effect.
     *
     * @param sent the manifest that was sent
     */
    record OutcomeUnknown(Manifest sent) implements Terminal {}
}
