package org.geraniumproxy.core.admission;

import java.time.Duration;
import org.geraniumproxy.core.outcome.NotRunReason;
import org.geraniumproxy.core.outcome.Outcome;
import org.geraniumproxy.core.routing.GroupRequest;
import org.geraniumproxy.core.session.SessionToken;

/** Result of the admission check of a caller's request. */
public sealed interface Admission {
    /**
     * The request is valid and its customer may send it.
     *
     * @param token session token of the caller
     * @param request the request for the database group
     */
    record Admitted(SessionToken token, GroupRequest request) implements Admission {
        /**
         * Returns whether a request was admitted for the same customer. A key may move to another one in between.
         *
         * @param other an earlier admission of the same request
         * @return true if both are for one customer
         */
        public boolean isForCustomerOf(Admitted other) {
            return token.customer().equals(other.token.customer());
        }
    }

    /**
     * The request is refused and had no effect.
     *
     * @param outcome the outcome for the caller
     */
    record Refused(Outcome.NotRun outcome) implements Admission {}

    /**
     * Creates a refusal.
     *
     * @param reason reason of the refusal
     * @param detail text for the caller; contains no part of a key, token or statement
     * @return the refusal
     */
    static Admission refused(NotRunReason reason, String detail) {
        return new Refused(new Outcome.NotRun(reason, detail, Duration.ZERO));
    }
}
