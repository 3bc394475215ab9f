package org.geraniumproxy.core.limit;

import java.time.Duration;
import org.geraniumproxy.core.identity.VmName;

/** Action that an adapter executes for a {@link CustomerRate}. */
public sealed interface CustomerRateEffect {
    /**
     * Runs an operation.
     *
     * @param operation number of the operation
     * @param delay time after which its token is due
     */
    record Admit(long operation, Duration delay) implements CustomerRateEffect {}

    /**
     * Refuses an operation.
     *
     * @param operation number of the operation
     * @param retryAfter time after which a token is expected
     * @param source where the lack of tokens is known from
     */
    record Refuse(long operation, Duration retryAfter, TokenSource source) implements CustomerRateEffect {}

    /**
     * Sends a request to the owner.
     *
     * @param requestId identifier of the request
     * @param needed number of tokens for operations that wait
     * @param ahead number of further tokens for operations that are expected
     * @param maximumWait longest time until a needed token is due
     */
    record Ask(long requestId, int needed, int ahead, Duration maximumWait) implements CustomerRateEffect {}

    /**
     * Reports that the owner stopped or began to answer.
     *
     * @param answering whether the owner answers now
     */
    record OwnerChanged(boolean answering) implements CustomerRateEffect {}

    /**
     * Tells the next owner that this VM has stopped lending.
     *
     * @param owner next owner
     * @param tokens tokens that were left
     */
    record HandOver(VmName owner, long tokens) implements CustomerRateEffect {}
}
