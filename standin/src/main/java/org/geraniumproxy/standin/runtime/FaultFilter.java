package org.geraniumproxy.standin.runtime;

import io.grpc.Status;
import java.util.ArrayList;
import java.util.List;

/**
 * Applies the injected faults of a stand-in to its calls: delays, outages, isolation and lost replies. Confined to the
 * executor, apart from {@link #dispatch}.
 */
public final class FaultFilter {
    private final SerialExecutor executor;
    private final List<ReplyStream<?>> withheldReplies = new ArrayList<>();
    private Faults faults = Faults.NONE;

    /**
     * Creates a filter without faults.
     *
     * @param executor the executor of the stand-in
     */
    public FaultFilter(SerialExecutor executor) {
        this.executor = executor;
    }

    /**
     * Returns the active faults.
     *
     * @return the faults
     */
    public Faults faults() {
        return faults;
    }

    /**
     * Replaces the active faults. Calls whose replies were withheld during isolation fail when the isolation ends.
     *
     * @param newFaults the new faults
     */
    public void inject(Faults newFaults) {
        faults = newFaults;
        if (!faults.isolated()) {
            withheldReplies.forEach(
                    reply -> reply.fail(Status.UNAVAILABLE.withDescription("connection lost in isolation")));
            withheldReplies.clear();
        }
    }

    /**
     * Runs a call on the executor after the injected delay, unless the stand-in is then down or isolated. May be called
     * from any thread.
     *
     * @param reply the reply of the call
     * @param call performs the call and replies to it
     */
    public void dispatch(ReplyStream<?> reply, Runnable call) {
        executor.execute(() -> {
            if (faults.delay().isZero()) {
                runUnlessSuppressed(reply, call);
            } else {
                executor.schedule(faults.delay(), () -> runUnlessSuppressed(reply, call));
            }
        });
    }

    /**
     * Replies to a call that changed no state, unless the stand-in is down or isolated.
     *
     * @param reply the reply of the call
     * @param message the reply message
     * @param <T> type of the reply message
     */
    public <T> void sendReply(ReplyStream<T> reply, T message) {
        if (suppressReply(reply)) {
            return;
        }
        reply.sendAndComplete(message);
    }

    /**
     * Replies to a call that changed state. The reply is lost if an injected fault says so.
     *
     * @param reply the reply of the call
     * @param message the reply message
     * @param <T> type of the reply message
     */
    public <T> void sendReplyAfterEffect(ReplyStream<T> reply, T message) {
        if (loseReply(reply)) {
            return;
        }
        sendReply(reply, message);
    }

    /**
     * Fails a reply if the injected faults still have replies to lose. Call it only after a change of state.
     *
     * @param reply the reply
     * @return true if the reply was lost
     */
    public boolean loseReply(ReplyStream<?> reply) {
        if (faults.lostReplies() <= 0) {
            return false;
        }
        faults = faults.afterLostReply();
        reply.fail(Status.UNAVAILABLE.withDescription("reply lost"));
        return true;
    }

    /**
     * Withholds a reply while the stand-in is isolated, and fails it while the stand-in is down.
     *
     * @param reply the reply
     * @return true if the reply was withheld or failed; the caller must not send on it
     */
    public boolean suppressReply(ReplyStream<?> reply) {
        if (faults.isolated()) {
            withheldReplies.add(reply);
            return true;
        }
        if (faults.down()) {
            reply.fail(Status.UNAVAILABLE.withDescription("stand-in is down"));
            return true;
        }
        return false;
    }

    private void runUnlessSuppressed(ReplyStream<?> reply, Runnable call) {
        if (!suppressReply(reply)) {
            call.run();
        }
    }
}
