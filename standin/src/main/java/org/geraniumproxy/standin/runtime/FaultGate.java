package org.geraniumproxy.standin.runtime;

import io.grpc.Status;
import java.util.ArrayList;
import java.util.List;

/** Applies the faults of a stand-in to its calls. Confined to the owner. */
public final class FaultGate {
    private final Owner owner;
    private final List<Reply<?>> stranded = new ArrayList<>();
    private Faults faults = Faults.NONE;

    /**
     * Creates a gate without faults.
     *
     * @param owner the owner of the stand-in
     */
    public FaultGate(Owner owner) {
        this.owner = owner;
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
            stranded.forEach(reply -> reply.fail(Status.UNAVAILABLE.withDescription("connection lost in isolation")));
            stranded.clear();
        }
    }

    /**
     * Lets a call take effect now, later or never.
     *
     * @param reply the reply of the call
     * @param call what the call does
     */
    public void admit(Reply<?> reply, Runnable call) {
        owner.execute(() -> {
            if (faults.delay().isZero()) {
                enter(reply, call);
            } else {
                owner.schedule(faults.delay(), () -> enter(reply, call));
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
    public <T> void answer(Reply<T> reply, T message) {
        if (holds(reply)) {
            return;
        }
        reply.sendLast(message);
    }

    /**
     * Answers a call that had an effect; the answer may be lost.
     *
     * @param reply the reply of the call
     * @param message the answer
     * @param <T> type of the answer
     */
    public <T> void answerEffect(Reply<T> reply, T message) {
        if (loses(reply)) {
            return;
        }
        answer(reply, message);
    }

    /**
     * Fails a reply if the next reply after an effect is to be lost.
     *
     * @param reply the reply
     * @return true if it was lost
     */
    public boolean loses(Reply<?> reply) {
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
    public boolean holds(Reply<?> reply) {
        if (faults.isolated()) {
            stranded.add(reply);
            return true;
        }
        if (faults.down()) {
            reply.fail(Status.UNAVAILABLE.withDescription("stand-in is down"));
            return true;
        }
        return false;
    }

    private void enter(Reply<?> reply, Runnable call) {
        if (!holds(reply)) {
            call.run();
        }
    }
}
