package org.geraniumproxy.standin.runtime;

import io.grpc.Status;
import java.util.ArrayList;
import java.util.List;

/** Applies the faults of a stand-in to its calls. Confined to the owner. */
public final class FaultFilter {
    private final SerialExecutor executor;
    private final List<ReplyStream<?>> withheldReplies = new ArrayList<>();
    private Faults faults = Faults.NONE;

    /**
     * Creates a gate without faults.
     *
     * @param executor the owner of the stand-in
     */
    public FaultFilter(SerialExecutor executor) {
        this.executor = executor;
    }

    /**
     * Returns the faults in force.
     *
     * @return the faults
     */
    public Faults faults() {
        return faults;
    }

    /**
     * Replaces the faults. Calls that were caught in an isolation fail when it ends.
     *
     * @param newFaults the faults from now on
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
     * Lets a call take effect now, later or never.
     *
     * @param reply the reply of the call
     * @param call what the call does
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
     * Answers a call that had no effect.
     *
     * @param reply the reply of the call
     * @param message the answer
     * @param <T> type of the answer
     */
    public <T> void sendReply(ReplyStream<T> reply, T message) {
        if (suppressReply(reply)) {
            return;
        }
        reply.sendAndComplete(message);
    }

    /**
     * Answers a call that had an effect; the answer may be lost.
     *
     * @param reply the reply of the call
     * @param message the answer
     * @param <T> type of the answer
     */
    public <T> void sendReplyAfterEffect(ReplyStream<T> reply, T message) {
        if (loseReply(reply)) {
            return;
        }
        sendReply(reply, message);
    }

    /**
     * Fails a reply if the next reply after an effect is to be lost.
     *
     * @param reply the reply
     * @return true if it was lost
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
     * Withholds a reply while the stand-in is isolated and fails it while the stand-in is down.
     *
     * @param reply the reply
     * @return true if nothing may be sent on it
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
