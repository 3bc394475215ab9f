package org.geraniumproxy.core.admission;

import java.time.Duration;
import org.geraniumproxy.core.outcome.NotRunReason;
import org.geraniumproxy.core.outcome.Outcome;
import org.geraniumproxy.core.routing.GroupRequest;
import org.geraniumproxy.core.session.SessionToken;

/** Whether a caller's request is taken in. */
public sealed interface Admission {
    /**
     * The request is complete and its customer may send it.
     *
     * @param token the session of the caller
     * @param request the request for the group
     */
    record Admitted(SessionToken token, GroupRequest request) implements Admission {}

    /**
     * The request is refused before anything is done for it.
     *
     * @param outcome why
     */
    record Refused(Outcome.NotRun outcome) implements Admission {}

    /**
     * Returns a refusal.
     *
     * @param reason why the request is refused
     * @param detail what would be right, without any part of a key, token or statement
     * @return the refusal
     */
    static Admission refused(NotRunReason reason, String detail) {
        return new Refused(new Outcome.NotRun(reason, detail, Duration.ZERO));
    }
}
